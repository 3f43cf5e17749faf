/**
 * The report duty: polls the VM list, the catalogue of the weight store and the reports of runners.
 */
@NullMarked
package org.oleanderspring.daemon.report;

import org.jspecify.annotations.NullMarked;
