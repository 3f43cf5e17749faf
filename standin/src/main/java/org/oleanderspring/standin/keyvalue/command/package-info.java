/** Requests that change the key-value service. */
@NullMarked
package org.oleanderspring.standin.keyvalue.command;

import org.jspecify.annotations.NullMarked;
