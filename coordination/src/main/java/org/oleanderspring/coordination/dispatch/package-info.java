/** Dispatch records, which let a call run at most once. */
@NullMarked
package org.oleanderspring.coordination.dispatch;

import org.jspecify.annotations.NullMarked;
