package org.oleanderspring.daemon.gateway.store.command;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.command.CompareAndSwap;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.command.StoreLeaseResult;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.watch.command.WatchEvent;
import org.oleanderspring.duty.command.EventSink;

/** Reports to the watches whether the key-value service answers the commands of other duties. */
public final class ObservedKeyValueCommands implements KeyValueCommands {
    private final KeyValueCommands mCommands;
    private final EventSink<WatchEvent> mWatches;

    /**
     * Creates commands that any thread may use.
     *
     * @param commands executes the commands
     * @param watches the ring of the duty that follows the key-value service
     */
    public ObservedKeyValueCommands(KeyValueCommands commands, EventSink<WatchEvent> watches) {
        mCommands = commands;
        mWatches = watches;
    }

    @Override
    public CompletableFuture<WriteResult> compareAndSwap(CompareAndSwap command) {
        return mCommands.compareAndSwap(command).thenApply(this::report);
    }

    private WriteResult report(WriteResult result) {
        if (result instanceof WriteResult.Unavailable unavailable) {
            mWatches.offer(new WatchEvent.StoreFailed(unavailable.reason()));
        } else if (result instanceof WriteResult.Unknown unknown) {
            mWatches.offer(new WatchEvent.StoreFailed(unknown.reason()));
        } else {
            mWatches.offer(answered(result.answeredIn()));
        }
        return result;
    }

    @Override
    public CompletableFuture<StoreLeaseResult> grantLease(Duration timeToLive) {
        return mCommands.grantLease(timeToLive).thenApply(this::report);
    }

    @Override
    public CompletableFuture<StoreLeaseResult> renewLease(StoreLeaseId lease) {
        return mCommands.renewLease(lease).thenApply(this::report);
    }

    @Override
    public CompletableFuture<StoreLeaseResult> revokeLease(StoreLeaseId lease) {
        return mCommands.revokeLease(lease).thenApply(this::report);
    }

    static WatchEvent answered(@Nullable StoreEra era) {
        return new WatchEvent.StoreAnswered(era == null ? StoreEra.UNKNOWN : era);
    }

    private StoreLeaseResult report(StoreLeaseResult result) {
        mWatches.offer(
                result instanceof StoreLeaseResult.Unavailable unavailable
                        ? new WatchEvent.StoreFailed(unavailable.reason())
                        : answered(result.answeredIn()));
        return result;
    }
}
