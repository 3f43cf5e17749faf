/** Which daemons issue a shared rate. */
@NullMarked
package org.oleanderspring.core.share.query;

import org.jspecify.annotations.NullMarked;
