/** Collects what the daemons report about endpoints. */
@NullMarked
package org.oleanderspring.core.load.command;

import org.jspecify.annotations.NullMarked;
