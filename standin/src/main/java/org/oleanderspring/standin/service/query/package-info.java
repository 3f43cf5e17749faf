/** Requests that read the state of the service. */
@NullMarked
package org.oleanderspring.standin.service.query;

import org.jspecify.annotations.NullMarked;
