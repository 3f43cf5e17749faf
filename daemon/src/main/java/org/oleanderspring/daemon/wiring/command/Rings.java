package org.oleanderspring.daemon.wiring.command;

import org.oleanderspring.daemon.dispatch.command.DispatchInput;
import org.oleanderspring.daemon.document.command.DocumentInput;
import org.oleanderspring.daemon.lease.command.LeaseInput;
import org.oleanderspring.daemon.membership.command.MembershipInput;
import org.oleanderspring.daemon.placement.command.PlacementInput;
import org.oleanderspring.daemon.report.command.ReportInput;
import org.oleanderspring.daemon.routing.command.RoutingInput;
import org.oleanderspring.duty.command.DutyThread;
import org.oleanderspring.duty.command.DutyTimer;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.duty.command.RetryingSink;

/**
 * The threads of all duties of one daemon, each with its bounded ring.
 *
 * <p>A duty's thread refuses an event while its ring is full. The sink of the same duty offers the
 * event again later instead; it is for events that must not be lost.
 */
public final class Rings implements AutoCloseable {
    /** The capacity of this and of each further ring, in events. */
    private static final int ROUTING_CAPACITY = 16_384;

    private static final int DISPATCH_CAPACITY = 8_192;
    private static final int DEFAULT_CAPACITY = 4_096;

    private final DutyTimer mTimer = new DutyTimer();
    private final DutyThread<RoutingInput> mRouting = new DutyThread<>("routing", ROUTING_CAPACITY);
    private final DutyThread<PlacementInput> mPlacement =
            new DutyThread<>("placement", DEFAULT_CAPACITY);
    private final DutyThread<LeaseInput> mLease = new DutyThread<>("lease", DEFAULT_CAPACITY);
    private final DutyThread<DocumentInput> mDocument =
            new DutyThread<>("document", DEFAULT_CAPACITY);
    private final DutyThread<MembershipInput> mMembership =
            new DutyThread<>("membership", DEFAULT_CAPACITY);
    private final DutyThread<DispatchInput> mDispatch =
            new DutyThread<>("dispatch", DISPATCH_CAPACITY);
    private final DutyThread<ReportInput> mReport = new DutyThread<>("report", DEFAULT_CAPACITY);

    /** Creates the rings and starts the timer; {@link DutyStarter} starts the duties' threads. */
    public Rings() {}

    /** Returns the timer that all duties share. */
    public DutyTimer timer() {
        return mTimer;
    }

    /** Returns the thread of the routing duty. */
    public DutyThread<RoutingInput> routingThread() {
        return mRouting;
    }

    /** Returns the thread of the placement duty. */
    public DutyThread<PlacementInput> placementThread() {
        return mPlacement;
    }

    /** Returns the thread of the lease duty. */
    public DutyThread<LeaseInput> leaseThread() {
        return mLease;
    }

    /** Returns the thread of the document duty. */
    public DutyThread<DocumentInput> documentThread() {
        return mDocument;
    }

    /** Returns the thread of the membership duty. */
    public DutyThread<MembershipInput> membershipThread() {
        return mMembership;
    }

    /** Returns the thread of the dispatch duty. */
    public DutyThread<DispatchInput> dispatchThread() {
        return mDispatch;
    }

    /** Returns the thread of the report duty. */
    public DutyThread<ReportInput> reportThread() {
        return mReport;
    }

    /** Returns a sink that retries offers to the routing duty while its ring is full. */
    public EventSink<RoutingInput> routing() {
        return new RetryingSink<>(mRouting, mTimer);
    }

    /** Returns a sink that retries offers to the placement duty while its ring is full. */
    public EventSink<PlacementInput> placement() {
        return new RetryingSink<>(mPlacement, mTimer);
    }

    /** Returns a sink that retries offers to the lease duty while its ring is full. */
    public EventSink<LeaseInput> lease() {
        return new RetryingSink<>(mLease, mTimer);
    }

    /** Returns a sink that retries offers to the document duty while its ring is full. */
    public EventSink<DocumentInput> document() {
        return new RetryingSink<>(mDocument, mTimer);
    }

    /** Returns a sink that retries offers to the membership duty while its ring is full. */
    public EventSink<MembershipInput> membership() {
        return new RetryingSink<>(mMembership, mTimer);
    }

    /** Returns a sink that retries offers to the dispatch duty while its ring is full. */
    public EventSink<DispatchInput> dispatch() {
        return new RetryingSink<>(mDispatch, mTimer);
    }

    /** Returns a sink that retries offers to the report duty while its ring is full. */
    public EventSink<ReportInput> report() {
        return new RetryingSink<>(mReport, mTimer);
    }

    @Override
    public void close() {
        mTimer.close();
        mReport.close();
        mMembership.close();
        mLease.close();
        mPlacement.close();
        mDocument.close();
        mDispatch.close();
        mRouting.close();
    }
}
