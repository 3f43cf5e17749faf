/** Requests that read the state of the engine. */
@NullMarked
package org.oleanderspring.standin.engine.query;

import org.jspecify.annotations.NullMarked;
