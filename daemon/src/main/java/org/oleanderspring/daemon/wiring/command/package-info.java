/** Creates and starts the duties, and forwards the events of one duty to the rings of others. */
@NullMarked
package org.oleanderspring.daemon.wiring.command;

import org.jspecify.annotations.NullMarked;
