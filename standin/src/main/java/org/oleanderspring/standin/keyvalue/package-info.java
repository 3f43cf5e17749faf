/** Stand-in of the key-value service: keys, leases, watches, budgets and faults. */
@NullMarked
package org.oleanderspring.standin.keyvalue;

import org.jspecify.annotations.NullMarked;
