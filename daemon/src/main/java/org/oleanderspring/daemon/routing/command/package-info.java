/** Events of the routing duty and the ports through which it acts. */
@NullMarked
package org.oleanderspring.daemon.routing.command;

import org.jspecify.annotations.NullMarked;
