/** Lookup of routes. */
@NullMarked
package org.oleanderspring.core.route.query;

import org.jspecify.annotations.NullMarked;
