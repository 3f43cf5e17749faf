/**
 * Following the values under key prefixes of the key-value service by calls that the service delays
 * until there is a change. Decides when to call, how long to wait, and when to give a call up.
 */
@NullMarked
package org.oleanderspring.coordination.watch;

import org.jspecify.annotations.NullMarked;
