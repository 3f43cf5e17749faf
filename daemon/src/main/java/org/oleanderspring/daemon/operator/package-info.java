/** The HTTP interface for operators: settings, status and metrics. */
@NullMarked
package org.oleanderspring.daemon.operator;

import org.jspecify.annotations.NullMarked;
