/** Sends calls. */
@NullMarked
package org.oleanderspring.standin.load.command;

import org.jspecify.annotations.NullMarked;
