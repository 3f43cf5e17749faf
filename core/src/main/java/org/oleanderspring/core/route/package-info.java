/** The configuration of a hosted fleet: routes, services and their model engines. */
@NullMarked
package org.oleanderspring.core.route;

import org.jspecify.annotations.NullMarked;
