/** Read-only views of dispatch records and of who owns them. */
@NullMarked
package org.oleanderspring.coordination.dispatch.query;

import org.jspecify.annotations.NullMarked;
