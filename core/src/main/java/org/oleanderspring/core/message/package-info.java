/** All messages that a user can see, with their numbers. */
@NullMarked
package org.oleanderspring.core.message;

import org.jspecify.annotations.NullMarked;
