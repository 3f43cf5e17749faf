/** Events of the membership duty and what it informs. */
@NullMarked
package org.oleanderspring.daemon.membership.command;

import org.jspecify.annotations.NullMarked;
