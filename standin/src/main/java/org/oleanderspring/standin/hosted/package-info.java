/** Stand-ins of a hosted platform's metadata store and runners, in their published protocol. */
@NullMarked
package org.oleanderspring.standin.hosted;

import org.jspecify.annotations.NullMarked;
