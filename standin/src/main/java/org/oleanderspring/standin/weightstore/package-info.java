/** Stand-in for the weight store of the platform. */
@NullMarked
package org.oleanderspring.standin.weightstore;

import org.jspecify.annotations.NullMarked;
