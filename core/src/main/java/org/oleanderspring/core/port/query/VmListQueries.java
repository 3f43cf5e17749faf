package org.oleanderspring.core.port.query;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.core.fleet.VmList;

/** Reads the platform's VM list. */
public interface VmListQueries {
    /** Returns the list; the future never completes exceptionally. */
    CompletableFuture<Reading<VmList>> list();
}
