/** Summarizes what callers saw. */
@NullMarked
package org.oleanderspring.standin.load.query;

import org.jspecify.annotations.NullMarked;
