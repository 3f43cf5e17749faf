/** Stand-in of the weight store. */
@NullMarked
package org.oleanderspring.standin.weightstore;

import org.jspecify.annotations.NullMarked;
