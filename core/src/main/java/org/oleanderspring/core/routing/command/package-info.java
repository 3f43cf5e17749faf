/** Events that change the routing state, and the decisions that follow from them. */
@NullMarked
package org.oleanderspring.core.routing.command;

import org.jspecify.annotations.NullMarked;
