/**
 * The membership duty: tracks the members of the fleet of daemons and provides the entry directory.
 */
@NullMarked
package org.oleanderspring.daemon.membership;

import org.jspecify.annotations.NullMarked;
