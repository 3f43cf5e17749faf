/** Requests that make the engine work. */
@NullMarked
package org.oleanderspring.standin.engine.command;

import org.jspecify.annotations.NullMarked;
