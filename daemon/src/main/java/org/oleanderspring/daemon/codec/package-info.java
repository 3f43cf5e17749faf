/** JSON codecs of the documents that daemons share: settings and plans. */
@NullMarked
package org.oleanderspring.daemon.codec;

import org.jspecify.annotations.NullMarked;
