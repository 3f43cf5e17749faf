/** Reads how much traffic there is between daemons. */
@NullMarked
package org.oleanderspring.peer.query;

import org.jspecify.annotations.NullMarked;
