/** Messages between daemons, as the duties see them. */
@NullMarked
package org.oleanderspring.daemon.peering;

import org.jspecify.annotations.NullMarked;
