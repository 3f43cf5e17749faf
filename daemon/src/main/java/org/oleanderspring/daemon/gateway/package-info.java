/** The daemon on a hosted platform: its settings and identity. */
@NullMarked
package org.oleanderspring.daemon.gateway;

import org.jspecify.annotations.NullMarked;
