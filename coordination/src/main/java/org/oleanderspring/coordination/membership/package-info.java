/** Who takes part: identities and addresses of the members of a group. */
@NullMarked
package org.oleanderspring.coordination.membership;

import org.jspecify.annotations.NullMarked;
