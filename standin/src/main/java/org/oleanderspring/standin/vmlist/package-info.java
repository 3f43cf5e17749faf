/** Stand-in of the VM list. */
@NullMarked
package org.oleanderspring.standin.vmlist;

import org.jspecify.annotations.NullMarked;
