/** The HTTP server that all stand-ins share, and the duty that owns the state of one of them. */
@NullMarked
package org.oleanderspring.standin.http;

import org.jspecify.annotations.NullMarked;
