/** Ports that make endpoints do work. */
@NullMarked
package org.oleanderspring.core.port.command;

import org.jspecify.annotations.NullMarked;
