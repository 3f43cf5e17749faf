/** The load and speed of endpoints, as all daemons see them together. */
@NullMarked
package org.oleanderspring.core.load;

import org.jspecify.annotations.NullMarked;
