/** Requests that start and end downloads. */
@NullMarked
package org.oleanderspring.standin.weightstore.command;

import org.jspecify.annotations.NullMarked;
