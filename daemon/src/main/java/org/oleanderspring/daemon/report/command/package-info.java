/** The report duty, its input events and its listener. */
@NullMarked
package org.oleanderspring.daemon.report.command;

import org.jspecify.annotations.NullMarked;
