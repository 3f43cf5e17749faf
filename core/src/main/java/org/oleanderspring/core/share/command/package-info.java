/** Decides how a shared rate is divided: the issuer's side and the side of each daemon. */
@NullMarked
package org.oleanderspring.core.share.command;

import org.jspecify.annotations.NullMarked;
