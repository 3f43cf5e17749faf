/** Read-only views of the routing state. */
@NullMarked
package org.oleanderspring.core.routing.query;

import org.jspecify.annotations.NullMarked;
