/** Handlers that take calls. */
@NullMarked
package org.oleanderspring.daemon.front.command;

import org.jspecify.annotations.NullMarked;
