/** A load generator that sends calls to daemons as callers do. */
@NullMarked
package org.oleanderspring.standin.load;

import org.jspecify.annotations.NullMarked;
