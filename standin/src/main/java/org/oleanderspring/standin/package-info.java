/**
 * Stand-ins: simulated servers that replace the platform services and the endpoints in the demo and
 * in tests.
 */
@NullMarked
package org.oleanderspring.standin;

import org.jspecify.annotations.NullMarked;
