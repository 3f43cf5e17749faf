/** The dispatch duty: claims and writes the records of calls that run at most once. */
@NullMarked
package org.oleanderspring.daemon.dispatch;

import org.jspecify.annotations.NullMarked;
