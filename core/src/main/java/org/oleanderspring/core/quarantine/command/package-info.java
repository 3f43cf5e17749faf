/** Commands of the quarantine: evidence about prompt parts and the decisions drawn from it. */
@NullMarked
package org.oleanderspring.core.quarantine.command;

import org.jspecify.annotations.NullMarked;
