/** Events of the report duty and the listeners it informs. */
@NullMarked
package org.oleanderspring.daemon.report.command;

import org.jspecify.annotations.NullMarked;
