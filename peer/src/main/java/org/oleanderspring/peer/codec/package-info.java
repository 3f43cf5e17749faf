/** Translates between typed messages and protobuf. */
@NullMarked
package org.oleanderspring.peer.codec;

import org.jspecify.annotations.NullMarked;
