/** Handlers that answer questions of callers without starting work. */
@NullMarked
package org.oleanderspring.daemon.front.query;

import org.jspecify.annotations.NullMarked;
