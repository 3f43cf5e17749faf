/** The operators' side: settings, status and metrics over HTTP. */
@NullMarked
package org.oleanderspring.daemon.operator;

import org.jspecify.annotations.NullMarked;
