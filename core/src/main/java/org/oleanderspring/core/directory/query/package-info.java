/** Which daemons a caller is told of. */
@NullMarked
package org.oleanderspring.core.directory.query;

import org.jspecify.annotations.NullMarked;
