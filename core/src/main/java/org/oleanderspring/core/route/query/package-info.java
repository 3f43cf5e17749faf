/** Finds the route of a request. */
@NullMarked
package org.oleanderspring.core.route.query;

import org.jspecify.annotations.NullMarked;
