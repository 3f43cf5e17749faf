/** Messages between daemons, in protobuf over Netty. */
@NullMarked
package org.oleanderspring.peer;

import org.jspecify.annotations.NullMarked;
