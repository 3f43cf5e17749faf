/** The report duty: reads the VM list, the catalogue and the reports of runners. */
@NullMarked
package org.oleanderspring.daemon.report;

import org.jspecify.annotations.NullMarked;
