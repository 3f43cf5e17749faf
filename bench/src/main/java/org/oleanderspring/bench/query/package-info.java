/** Results of the benchmarks, and their output as tables. */
@NullMarked
package org.oleanderspring.bench.query;

import org.jspecify.annotations.NullMarked;
