/** The HTTP interface for callers: calls, refusals and the directory of entry addresses. */
@NullMarked
package org.oleanderspring.daemon.front;

import org.jspecify.annotations.NullMarked;
