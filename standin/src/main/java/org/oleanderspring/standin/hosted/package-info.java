/**
 * Stand-ins for the metadata store and the runners of a hosted platform, with its published
 * protocol.
 */
@NullMarked
package org.oleanderspring.standin.hosted;

import org.jspecify.annotations.NullMarked;
