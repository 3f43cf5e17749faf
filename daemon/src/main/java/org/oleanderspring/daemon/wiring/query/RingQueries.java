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

/** Asks duties for their state; each answers on its own thread. */
public final class RingQueries implements SettingsQueries {
    private final Rings mRings;

    /**
     * Creates the queries.
     *
     * @param rings the rings of the duties
     */
    public RingQueries(Rings rings) {
        mRings = rings;
    }

    /** Returns the names of all models and adapters. */
    public CompletableFuture<List<ModelName>> models() {
        return ask(mRings.routingThread(), RoutingInput.ModelsAsked::new);
    }

    /** Returns the entry directory. */
    public CompletableFuture<EntryDirectory> directory() {
        return ask(mRings.membershipThread(), MembershipInput.DirectoryRequested::new);
    }

    @Override
    public CompletableFuture<SettingsDocument> inForce() {
        return ask(mRings.documentThread(), DocumentInput.SettingsRequested::new);
    }

    @Override
    public CompletableFuture<SettingsReply> check(SettingsDraft draft) {
        return ask(
                mRings.documentThread(), reply -> new DocumentInput.DraftSent(draft, false, reply));
    }

    /**
     * Asks a duty.
     *
     * @param ring the ring of the duty
     * @param question makes the event that carries the reply
     * @param <E> the type of event
     * @param <R> the type of answer
     * @return the answer; fails if the ring does not take the question
     */
    static <E, R> CompletableFuture<R> ask(
            EventSink<E> ring, Function<CompletableFuture<R>, ? extends E> question) {
        CompletableFuture<R> reply = new CompletableFuture<>();
        if (ring.offer(question.apply(reply)) != OfferResult.ACCEPTED) {
            reply.completeExceptionally(new IllegalStateException("the ring is full"));
        }
        return reply;
    }
}
