/** Handlers for the operators' queries: settings, status and metrics. */
@NullMarked
package org.oleanderspring.daemon.operator.query;

import org.jspecify.annotations.NullMarked;
