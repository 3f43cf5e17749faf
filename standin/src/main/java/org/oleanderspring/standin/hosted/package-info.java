/**
 * Stand-ins for the key-value service and the runners of a hosted platform; they speak its
 * published protocol.
 */
@NullMarked
package org.oleanderspring.standin.hosted;

import org.jspecify.annotations.NullMarked;
