package org.oleanderspring.core.port.query;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.core.fleet.VmList;

/** Reads the VM list of the platform. */
public interface VmListQueries {
    /** Requests the current VM list. The future never completes exceptionally. */
    CompletableFuture<FetchResult<VmList>> list();
}
