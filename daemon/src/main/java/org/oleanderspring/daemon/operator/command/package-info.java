/** The handler that changes the operators' settings. */
@NullMarked
package org.oleanderspring.daemon.operator.command;

import org.jspecify.annotations.NullMarked;
