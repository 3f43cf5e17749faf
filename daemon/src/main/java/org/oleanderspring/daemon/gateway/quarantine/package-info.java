/** The quarantine of prompts that crash runners, as kept in the key-value service. */
@NullMarked
package org.oleanderspring.daemon.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
