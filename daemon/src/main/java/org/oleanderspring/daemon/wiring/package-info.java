/** Connects the duties of a daemon through their rings. */
@NullMarked
package org.oleanderspring.daemon.wiring;

import org.jspecify.annotations.NullMarked;
