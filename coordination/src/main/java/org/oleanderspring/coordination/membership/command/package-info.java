/** The membership state machine: probing, failure detection and dissemination of updates. */
@NullMarked
package org.oleanderspring.coordination.membership.command;

import org.jspecify.annotations.NullMarked;
