/**
 * Decisions of the serving system, free of any protocol: which endpoint serves a call, which model
 * is loaded where, which call waits, is refused or is tried again.
 */
@NullMarked
package org.oleanderspring.core;

import org.jspecify.annotations.NullMarked;
