/** Joins the duties of a daemon: rings, and who is told of what. */
@NullMarked
package org.oleanderspring.daemon.wiring;

import org.jspecify.annotations.NullMarked;
