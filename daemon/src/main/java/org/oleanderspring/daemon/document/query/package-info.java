/** Read-only views of the documents. */
@NullMarked
package org.oleanderspring.daemon.document.query;

import org.jspecify.annotations.NullMarked;
