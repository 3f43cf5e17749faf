/**
 * The daemon for a hosted platform, called the gateway: its settings, its identity and its view of
 * the platform's key-value service.
 */
@NullMarked
package org.oleanderspring.daemon.gateway;

import org.jspecify.annotations.NullMarked;
