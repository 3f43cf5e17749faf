/** Results of measurements and their presentation. */
@NullMarked
package org.oleanderspring.bench.query;

import org.jspecify.annotations.NullMarked;
