/** Handlers that show the state. */
@NullMarked
package org.oleanderspring.daemon.operator.query;

import org.jspecify.annotations.NullMarked;
