/**
 * The document duty: keeps the settings and plans up to date and determines until when this daemon
 * may act on them.
 */
@NullMarked
package org.oleanderspring.daemon.document;

import org.jspecify.annotations.NullMarked;
