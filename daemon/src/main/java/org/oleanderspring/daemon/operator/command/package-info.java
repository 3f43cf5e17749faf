/** Handlers that change the settings. */
@NullMarked
package org.oleanderspring.daemon.operator.command;

import org.jspecify.annotations.NullMarked;
