package org.oleanderspring.daemon.wiring.query;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.settings.command.SettingsDraft;
import org.oleanderspring.daemon.codec.SettingsDocument;
import org.oleanderspring.daemon.document.command.DocumentInput;
import org.oleanderspring.daemon.front.query.EntryDirectory;
import org.oleanderspring.daemon.membership.command.MembershipInput;
import org.oleanderspring.daemon.operator.SettingsReply;
import org.oleanderspring.daemon.operator.query.SettingsQueries;
import org.oleanderspring.daemon.routing.command.RoutingInput;
import org.oleanderspring.daemon.wiring.command.Rings;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.duty.command.OfferResult;

/**
 * Queries duties for their state through their rings. Each duty completes the reply on its own
 * thread.
 */
public final class RingQueries implements SettingsQueries {
    private final Rings mRings;

    /**
     * Creates queries whose replies fail if the ring of the duty refuses them.
     *
     * @param rings the rings of the duties
     */
    public RingQueries(Rings rings) {
        mRings = rings;
    }

    /** Queries the routing duty for the names of all models and adapters. */
    public CompletableFuture<List<ModelName>> models() {
        return query(mRings.routingThread(), RoutingInput.ModelsRequested::new);
    }

    /** Queries the membership duty for the entry directory that callers receive. */
    public CompletableFuture<EntryDirectory> directory() {
        return query(mRings.membershipThread(), MembershipInput.DirectoryRequested::new);
    }

    @Override
    public CompletableFuture<SettingsDocument> current() {
        return query(mRings.documentThread(), DocumentInput.SettingsRequested::new);
    }

    @Override
    public CompletableFuture<SettingsReply> check(SettingsDraft draft) {
        return query(
                mRings.documentThread(),
                reply -> new DocumentInput.DraftReceived(draft, false, reply));
    }

    /**
     * Sends a query to a duty.
     *
     * @param ring the ring of the duty
     * @param newQuery creates the query event with the future that the duty completes
     * @param <E> the type of event
     * @param <R> the type of reply
     * @return the reply; completed exceptionally if the ring refuses the event
     */
    static <E, R> CompletableFuture<R> query(
            EventSink<E> ring, Function<CompletableFuture<R>, ? extends E> newQuery) {
        CompletableFuture<R> reply = new CompletableFuture<>();
        if (ring.offer(newQuery.apply(reply)) != OfferResult.ACCEPTED) {
            reply.completeExceptionally(
                    new IllegalStateException("the ring of the duty is full or closed"));
        }
        return reply;
    }
}
