/** Reads what the daemons on a hosted platform share, for operators. */
@NullMarked
package org.oleanderspring.daemon.gateway.process.query;

import org.jspecify.annotations.NullMarked;
