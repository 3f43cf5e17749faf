/**
 * The daemon for a hosted platform, called the gateway: its settings, its identity and its view of
 * the platform's metadata store.
 */
@NullMarked
package org.oleanderspring.daemon.gateway;

import org.jspecify.annotations.NullMarked;
