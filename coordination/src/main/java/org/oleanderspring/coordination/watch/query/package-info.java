/** Read-only views of the followed key prefixes. */
@NullMarked
package org.oleanderspring.coordination.watch.query;

import org.jspecify.annotations.NullMarked;
