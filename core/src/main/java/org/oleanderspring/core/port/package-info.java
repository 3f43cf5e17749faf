/** The ports to the platform and to endpoints; each is one small interface with one adapter. */
@NullMarked
package org.oleanderspring.core.port;

import org.jspecify.annotations.NullMarked;
