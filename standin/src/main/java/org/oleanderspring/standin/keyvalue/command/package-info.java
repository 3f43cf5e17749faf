/** Requests that change the state of the key-value service. */
@NullMarked
package org.oleanderspring.standin.keyvalue.command;

import org.jspecify.annotations.NullMarked;
