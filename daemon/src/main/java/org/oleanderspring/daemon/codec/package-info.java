/** Encodes the documents that daemons share: settings and plans, as JSON. */
@NullMarked
package org.oleanderspring.daemon.codec;

import org.jspecify.annotations.NullMarked;
