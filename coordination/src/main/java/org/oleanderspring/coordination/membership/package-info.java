/** Group membership: identities, addresses and states of members. */
@NullMarked
package org.oleanderspring.coordination.membership;

import org.jspecify.annotations.NullMarked;
