/** Read-only views of the state of the document duty. */
@NullMarked
package org.oleanderspring.daemon.document.query;

import org.jspecify.annotations.NullMarked;
