/** The duty that decides which prompts are kept away from runners. */
@NullMarked
package org.oleanderspring.daemon.gateway.quarantine.command;

import org.jspecify.annotations.NullMarked;
