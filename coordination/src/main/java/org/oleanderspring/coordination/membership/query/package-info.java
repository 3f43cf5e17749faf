/** Reads the member list and ranks members. */
@NullMarked
package org.oleanderspring.coordination.membership.query;

import org.jspecify.annotations.NullMarked;
