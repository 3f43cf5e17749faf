/** Interfaces through which the platform and runners are read. */
@NullMarked
package org.oleanderspring.core.port.query;

import org.jspecify.annotations.NullMarked;
