/** Messages between daemons, encoded as protobuf and transported by Netty over TCP and UDP. */
@NullMarked
package org.oleanderspring.peer;

import org.jspecify.annotations.NullMarked;
