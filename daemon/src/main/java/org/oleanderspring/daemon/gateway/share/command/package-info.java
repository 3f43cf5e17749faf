/** The duty that issues rates that all daemons share. */
@NullMarked
package org.oleanderspring.daemon.gateway.share.command;

import org.jspecify.annotations.NullMarked;
