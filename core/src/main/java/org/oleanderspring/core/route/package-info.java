/** The operators' configuration of a hosted fleet: routes, services and their engines. */
@NullMarked
package org.oleanderspring.core.route;

import org.jspecify.annotations.NullMarked;
