/** The document duty: keeps settings and plans up to date and decides whether they may be used. */
@NullMarked
package org.oleanderspring.daemon.document;

import org.jspecify.annotations.NullMarked;
