/** The HTTP server shared by all stand-ins, and the thread that owns the state of a stand-in. */
@NullMarked
package org.oleanderspring.standin.http;

import org.jspecify.annotations.NullMarked;
