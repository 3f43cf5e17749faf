/** The dispatch duty: records of calls that run at most once. */
@NullMarked
package org.oleanderspring.daemon.dispatch;

import org.jspecify.annotations.NullMarked;
