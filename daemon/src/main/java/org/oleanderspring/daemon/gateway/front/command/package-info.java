/** Takes requests of the hosted platform's clients. */
@NullMarked
package org.oleanderspring.daemon.gateway.front.command;

import org.jspecify.annotations.NullMarked;
