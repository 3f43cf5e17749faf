/** Registrations and state reports of runners. */
@NullMarked
package org.oleanderspring.core.runner;

import org.jspecify.annotations.NullMarked;
