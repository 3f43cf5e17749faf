/** Decides which members are probed and what is known of them. */
@NullMarked
package org.oleanderspring.coordination.membership.command;

import org.jspecify.annotations.NullMarked;
