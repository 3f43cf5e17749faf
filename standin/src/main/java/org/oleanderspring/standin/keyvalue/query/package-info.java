/** Requests that read the state of the key-value service. */
@NullMarked
package org.oleanderspring.standin.keyvalue.query;

import org.jspecify.annotations.NullMarked;
