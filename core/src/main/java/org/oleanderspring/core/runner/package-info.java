/** Runners as they register themselves and report what they hold. */
@NullMarked
package org.oleanderspring.core.runner;

import org.jspecify.annotations.NullMarked;
