/** Sends the calls of the load generator. */
@NullMarked
package org.oleanderspring.standin.load.command;

import org.jspecify.annotations.NullMarked;
