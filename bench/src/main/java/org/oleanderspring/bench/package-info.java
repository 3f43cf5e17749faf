/**
 * Command line tools that measure the deciders of the core and of coordination with simulated
 * peers, runners and stores on a virtual clock.
 */
@NullMarked
package org.oleanderspring.bench;

import org.jspecify.annotations.NullMarked;
