/** Replays traces against the decision core with a virtual clock. */
@NullMarked
package org.oleanderspring.bench;

import org.jspecify.annotations.NullMarked;
