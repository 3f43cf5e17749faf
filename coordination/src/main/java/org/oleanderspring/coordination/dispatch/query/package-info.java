/** Read-only views of dispatch records and of the ownership of partitions. */
@NullMarked
package org.oleanderspring.coordination.dispatch.query;

import org.jspecify.annotations.NullMarked;
