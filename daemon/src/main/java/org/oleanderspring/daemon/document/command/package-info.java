/** The document duty, its input events and its listener. */
@NullMarked
package org.oleanderspring.daemon.document.command;

import org.jspecify.annotations.NullMarked;
