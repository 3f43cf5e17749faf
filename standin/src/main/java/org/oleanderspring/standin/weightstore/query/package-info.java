/** Requests that read the weight store. */
@NullMarked
package org.oleanderspring.standin.weightstore.query;

import org.jspecify.annotations.NullMarked;
