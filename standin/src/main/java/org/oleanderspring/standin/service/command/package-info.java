/** Requests that make the service work. */
@NullMarked
package org.oleanderspring.standin.service.command;

import org.jspecify.annotations.NullMarked;
