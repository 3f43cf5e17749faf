/** Requests that change the state of the service: calls and faults. */
@NullMarked
package org.oleanderspring.standin.service.command;

import org.jspecify.annotations.NullMarked;
