/** Summarizes the results of the load generator. */
@NullMarked
package org.oleanderspring.standin.load.query;

import org.jspecify.annotations.NullMarked;
