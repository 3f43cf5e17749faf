/** Reads the state of documents. */
@NullMarked
package org.oleanderspring.coordination.document.query;

import org.jspecify.annotations.NullMarked;
