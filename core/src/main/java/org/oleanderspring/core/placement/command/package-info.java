/** Events that change the placement state, and the decisions that follow from them. */
@NullMarked
package org.oleanderspring.core.placement.command;

import org.jspecify.annotations.NullMarked;
