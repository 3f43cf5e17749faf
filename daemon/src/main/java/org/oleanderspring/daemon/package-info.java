/** The daemon program: HTTP front ends, duty threads and the command line. */
@NullMarked
package org.oleanderspring.daemon;

import org.jspecify.annotations.NullMarked;
