/** Stand-in of a plain service. */
@NullMarked
package org.oleanderspring.standin.service;

import org.jspecify.annotations.NullMarked;
