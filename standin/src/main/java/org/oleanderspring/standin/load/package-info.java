/** A small load generator that behaves like a caller. */
@NullMarked
package org.oleanderspring.standin.load;

import org.jspecify.annotations.NullMarked;
