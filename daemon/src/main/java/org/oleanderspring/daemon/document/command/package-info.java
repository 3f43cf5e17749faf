/** Events of the document duty and what it informs. */
@NullMarked
package org.oleanderspring.daemon.document.command;

import org.jspecify.annotations.NullMarked;
