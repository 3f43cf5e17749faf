/** The membership duty: which daemons there are, and the entry directory. */
@NullMarked
package org.oleanderspring.daemon.membership;

import org.jspecify.annotations.NullMarked;
