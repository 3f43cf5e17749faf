/**
 * Decision logic of the serving system, independent of protocols and encodings: which endpoint
 * serves a call, where each model is loaded, and which calls wait, are refused or are retried.
 */
@NullMarked
package org.oleanderspring.core;

import org.jspecify.annotations.NullMarked;
