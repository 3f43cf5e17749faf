/** Handling of the events that change the routing state, and the resulting decisions. */
@NullMarked
package org.oleanderspring.core.routing.command;

import org.jspecify.annotations.NullMarked;
