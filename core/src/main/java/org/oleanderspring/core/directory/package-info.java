/** The daemons to which callers may connect, and what they have room for. */
@NullMarked
package org.oleanderspring.core.directory;

import org.jspecify.annotations.NullMarked;
