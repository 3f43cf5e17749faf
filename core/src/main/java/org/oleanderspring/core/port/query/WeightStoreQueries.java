package org.oleanderspring.core.port.query;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.core.fleet.Checkpoint;

/** Reads the catalogue of the weight store. */
public interface WeightStoreQueries {
    /** Requests the list of all checkpoints. The future never completes exceptionally. */
    CompletableFuture<FetchResult<List<Checkpoint>>> catalogue();
}
