/** Basic types of the fleet: VMs, failure domains, endpoints, runners, cells and models. */
@NullMarked
package org.oleanderspring.core.fleet;

import org.jspecify.annotations.NullMarked;
