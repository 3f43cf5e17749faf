/** Queries the state of duties through their rings. */
@NullMarked
package org.oleanderspring.daemon.wiring.query;

import org.jspecify.annotations.NullMarked;
