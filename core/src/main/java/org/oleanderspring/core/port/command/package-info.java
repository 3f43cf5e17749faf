/** Interfaces through which endpoints and runners are given work. */
@NullMarked
package org.oleanderspring.core.port.command;

import org.jspecify.annotations.NullMarked;
