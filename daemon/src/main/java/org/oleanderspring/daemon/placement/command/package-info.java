/** Events of the placement duty. */
@NullMarked
package org.oleanderspring.daemon.placement.command;

import org.jspecify.annotations.NullMarked;
