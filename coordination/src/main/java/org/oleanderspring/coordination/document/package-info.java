/** Replicated documents whose version number never decreases at any member. */
@NullMarked
package org.oleanderspring.coordination.document;

import org.jspecify.annotations.NullMarked;
