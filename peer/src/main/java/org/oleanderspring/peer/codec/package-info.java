/** Encodes peer messages as protobuf and decodes them. */
@NullMarked
package org.oleanderspring.peer.codec;

import org.jspecify.annotations.NullMarked;
