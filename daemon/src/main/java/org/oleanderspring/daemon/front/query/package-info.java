/** Handlers for the callers' queries, which start no work. */
@NullMarked
package org.oleanderspring.daemon.front.query;

import org.jspecify.annotations.NullMarked;
