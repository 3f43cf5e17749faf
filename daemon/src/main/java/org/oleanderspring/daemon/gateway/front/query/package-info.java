/** Answers where to connect and whether the daemon is ready. */
@NullMarked
package org.oleanderspring.daemon.gateway.front.query;

import org.jspecify.annotations.NullMarked;
