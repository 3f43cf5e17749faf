/** Stand-in for the key-value service: keys, leases, watches, rate limits and faults. */
@NullMarked
package org.oleanderspring.standin.keyvalue;

import org.jspecify.annotations.NullMarked;
