/** Collects answers from several duties. */
@NullMarked
package org.oleanderspring.daemon.wiring.query;

import org.jspecify.annotations.NullMarked;
