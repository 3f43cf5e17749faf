/** Requests that read the service. */
@NullMarked
package org.oleanderspring.standin.service.query;

import org.jspecify.annotations.NullMarked;
