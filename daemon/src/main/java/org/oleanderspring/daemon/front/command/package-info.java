/** The HTTP listener, and the handler that accepts calls. */
@NullMarked
package org.oleanderspring.daemon.front.command;

import org.jspecify.annotations.NullMarked;
