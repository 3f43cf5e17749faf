/** Operations that change the key-value service. */
@NullMarked
package org.oleanderspring.coordination.store.command;

import org.jspecify.annotations.NullMarked;
