/** Operations that change dispatch records. */
@NullMarked
package org.oleanderspring.coordination.dispatch.command;

import org.jspecify.annotations.NullMarked;
