/** Read access to documents, and the selection of watchers and witnesses. */
@NullMarked
package org.oleanderspring.coordination.document.query;

import org.jspecify.annotations.NullMarked;
