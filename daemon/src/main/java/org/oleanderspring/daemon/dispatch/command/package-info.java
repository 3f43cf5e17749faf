/** Events of the dispatch duty. */
@NullMarked
package org.oleanderspring.daemon.dispatch.command;

import org.jspecify.annotations.NullMarked;
