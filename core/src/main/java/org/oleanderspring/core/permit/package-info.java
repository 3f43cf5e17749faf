/**
 * Permits for calls to endpoints that limit their rate. The limit holds for all daemons together,
 * so one daemon issues the permits for an endpoint.
 */
@NullMarked
package org.oleanderspring.core.permit;

import org.jspecify.annotations.NullMarked;
