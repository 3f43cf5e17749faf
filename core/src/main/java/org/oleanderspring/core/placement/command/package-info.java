/** The placement decider of a cell, with its input events, its decisions and its policies. */
@NullMarked
package org.oleanderspring.core.placement.command;

import org.jspecify.annotations.NullMarked;
