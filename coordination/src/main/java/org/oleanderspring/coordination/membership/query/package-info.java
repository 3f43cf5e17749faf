/** Read access to the member list, and ranking and random choice of members. */
@NullMarked
package org.oleanderspring.coordination.membership.query;

import org.jspecify.annotations.NullMarked;
