/** Requests that read the state of the weight store. */
@NullMarked
package org.oleanderspring.standin.weightstore.query;

import org.jspecify.annotations.NullMarked;
