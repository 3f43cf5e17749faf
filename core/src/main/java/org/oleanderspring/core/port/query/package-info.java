/** Ports that read the platform and endpoints. */
@NullMarked
package org.oleanderspring.core.port.query;

import org.jspecify.annotations.NullMarked;
