/** Stand-in for the VM list of the platform. */
@NullMarked
package org.oleanderspring.standin.vmlist;

import org.jspecify.annotations.NullMarked;
