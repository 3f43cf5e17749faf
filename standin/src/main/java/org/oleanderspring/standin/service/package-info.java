/** Stand-in for a service without a model. */
@NullMarked
package org.oleanderspring.standin.service;

import org.jspecify.annotations.NullMarked;
