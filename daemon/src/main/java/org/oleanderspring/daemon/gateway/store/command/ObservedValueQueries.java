package org.oleanderspring.daemon.gateway.store.command;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.query.ReadResult;
import org.oleanderspring.coordination.store.query.ValueQueries;
import org.oleanderspring.coordination.watch.command.WatchEvent;
import org.oleanderspring.duty.command.EventSink;

/** Reports to the watches whether the key-value service answers the reads of other duties. */
public final class ObservedValueQueries implements ValueQueries {
    private final ValueQueries mQueries;
    private final EventSink<WatchEvent> mWatches;

    /**
     * Creates queries that any thread may use.
     *
     * @param queries reads the values
     * @param watches the ring of the duty that follows the key-value service
     */
    public ObservedValueQueries(ValueQueries queries, EventSink<WatchEvent> watches) {
        mQueries = queries;
        mWatches = watches;
    }

    @Override
    public CompletableFuture<ReadResult> read(StoreKey key) {
        return mQueries.read(key).thenApply(this::report);
    }

    private ReadResult report(ReadResult result) {
        mWatches.offer(
                result instanceof ReadResult.Unavailable unavailable
                        ? new WatchEvent.StoreFailed(unavailable.reason())
                        : ObservedKeyValueCommands.answered(result.answeredIn()));
        return result;
    }
}
