package org.oleanderspring.core.placement.command;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.placement.OrderId;
import org.oleanderspring.core.placement.OrderSender;

/**
 * A daemon with the real decider, a queue of events and a queue of orders. Both queues keep their
 * content while the daemon is paused. When it resumes, the queued orders are sent without another
 * check.
 */
final class FakeDaemon {
    private final OrderSender mSelf;
    private final DefaultPlacementDecider mDecider;
    private final ArrayDeque<PlacementEvent> mEvents = new ArrayDeque<>();
    private final ArrayDeque<PlacementDecision.SendOrder> mOrders = new ArrayDeque<>();
    private final Map<OrderId, FencingToken> mExchanges = new HashMap<>();
    private final List<MemberId> mMembers = new ArrayList<>();
    private final List<FakeDaemon> mEarlierProcesses = new ArrayList<>();
    private FencingToken mAnnouncedTerm = FencingToken.NONE;
    private FencingToken mAcknowledgedTerm = FencingToken.NONE;
    private boolean mPaused;
    private boolean mHolding;

    FakeDaemon(CellName cell, OrderSender self, PlacementPolicies policies) {
        mSelf = self;
        mMembers.add(self.member());
        mDecider = new DefaultPlacementDecider(cell, self, policies);
    }

    OrderSender self() {
        return mSelf;
    }

    /**
     * Makes this daemon acknowledge terms on behalf of an earlier process at the same address too.
     */
    void acknowledgeFor(FakeDaemon earlier) {
        mMembers.addAll(earlier.mMembers);
        mEarlierProcesses.add(earlier);
    }

    List<MemberId> members() {
        return mMembers;
    }

    void setPaused(boolean paused) {
        mPaused = paused;
    }

    boolean isPaused() {
        return mPaused;
    }

    boolean isHolding() {
        return mHolding;
    }

    void offer(PlacementEvent event) {
        mEvents.add(event);
    }

    ArrayDeque<PlacementEvent> events() {
        return mEvents;
    }

    ArrayDeque<PlacementDecision.SendOrder> orders() {
        return mOrders;
    }

    Map<OrderId, FencingToken> exchanges() {
        return mExchanges;
    }

    List<PlacementDecision> decide(PlacementEvent event, Instant now) {
        if (event instanceof PlacementEvent.TermStarted) {
            mHolding = true;
        } else if (event instanceof PlacementEvent.TermEnded) {
            mHolding = false;
        }
        return mDecider.decide(event, now);
    }

    /** Processes the announcement of a term and discards the unsent orders of earlier terms. */
    void termAnnounced(FencingToken term, boolean isOwn) {
        if (term.compareTo(mAnnouncedTerm) <= 0) {
            return;
        }
        mAnnouncedTerm = term;
        mOrders.removeIf(send -> send.order().token().compareTo(term) < 0);
        if (!isOwn) {
            mEvents.addFirst(new PlacementEvent.TermEnded());
        }
    }

    /**
     * Returns whether a new term can be acknowledged, that is, no order of an earlier term is in
     * progress.
     */
    boolean mayAcknowledge() {
        boolean isDue = mAnnouncedTerm.compareTo(mAcknowledgedTerm) > 0;
        return isDue && !hasOrderInProgress(mAnnouncedTerm);
    }

    private boolean hasOrderInProgress(FencingToken term) {
        return mExchanges.values().stream().anyMatch(token -> token.compareTo(term) < 0)
                || mEarlierProcesses.stream().anyMatch(earlier -> earlier.hasOrderInProgress(term));
    }

    FencingToken acknowledge() {
        mAcknowledgedTerm = mAnnouncedTerm;
        return mAnnouncedTerm;
    }
}
