/** Requests that replace the VM list. */
@NullMarked
package org.oleanderspring.standin.vmlist.command;

import org.jspecify.annotations.NullMarked;
