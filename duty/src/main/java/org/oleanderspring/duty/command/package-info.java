/**
 * Operations on ring buffers and their threads: offering events, scheduling them, and starting and
 * stopping threads.
 */
@NullMarked
package org.oleanderspring.duty.command;

import org.jspecify.annotations.NullMarked;
