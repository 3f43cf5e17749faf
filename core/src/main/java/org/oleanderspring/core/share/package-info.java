/**
 * Rates that all daemons share, such as the quota of an organisation: the messages by which parts
 * of a rate are asked for and granted.
 */
@NullMarked
package org.oleanderspring.core.share;

import org.jspecify.annotations.NullMarked;
