/** The document state machine: replication, freshness and changes of documents. */
@NullMarked
package org.oleanderspring.coordination.document.command;

import org.jspecify.annotations.NullMarked;
