/** The callers' side: calls, refusals and the entry directory, over HTTP. */
@NullMarked
package org.oleanderspring.daemon.front;

import org.jspecify.annotations.NullMarked;
