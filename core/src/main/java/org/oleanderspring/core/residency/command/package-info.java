/**
 * The decider that loads and unloads models and adapters on the runners of a hosted fleet, with its
 * input events and its decisions.
 */
@NullMarked
package org.oleanderspring.core.residency.command;

import org.jspecify.annotations.NullMarked;
