/** Decides what a member does with documents. */
@NullMarked
package org.oleanderspring.coordination.document.command;

import org.jspecify.annotations.NullMarked;
