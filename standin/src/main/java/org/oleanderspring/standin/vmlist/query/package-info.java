/** Requests that read the VM list. */
@NullMarked
package org.oleanderspring.standin.vmlist.query;

import org.jspecify.annotations.NullMarked;
