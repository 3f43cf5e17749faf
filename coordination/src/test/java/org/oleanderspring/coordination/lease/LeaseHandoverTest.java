package org.oleanderspring.coordination.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.lease.command.DefaultLeaseDecider;
import org.oleanderspring.coordination.lease.command.LeaseDecision;
import org.oleanderspring.coordination.lease.command.LeaseEvent;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.command.CompareAndSwap;
import org.oleanderspring.coordination.store.command.StoreLeaseResult;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;

/** Tests the handover data that a holder passes to the next holder when it releases its lease. */
class LeaseHandoverTest {
    private static final LeaseName NAME = new LeaseName("cell");
    private static final Instant START = Instant.EPOCH.plusSeconds(10);

    private final Daemon mFirst = new Daemon("first", 1);
    private final Daemon mSecond = new Daemon("second", 2);
    private @Nullable StoredValue mStored;
    private long mRevision = 1;
    private boolean mLosesReplies;

    /**
     * Guards against handover data that does not reach the next holder, and against data of an
     * earlier holder that is reported although the key was removed since.
     */
    @Test
    void nextHolderReceivesTheHandover() {
        mFirst.compete(START);
        assertThat(mFirst.mAcquired, contains("none"));
        mSecond.compete(START);
        assertThat(mSecond.mAcquired, is(empty()));

        mFirst.decide(
                new LeaseEvent.HandoverRequested(NAME, "handover data"), START.plusSeconds(1));
        mSecond.observeKey(START.plusSeconds(1));
        assertThat(mSecond.mAcquired, contains("handover data"));

        mStored = null;
        mFirst.compete(START.plusSeconds(2));
        assertThat(mFirst.mAcquired, contains("none", "none"));
    }

    /**
     * Guards against a daemon that acquires a lease again right after it handed the lease over,
     * without competing for it.
     */
    @Test
    void formerHolderDoesNotReacquire() {
        mFirst.compete(START);
        mFirst.decide(
                new LeaseEvent.HandoverRequested(NAME, "handover data"), START.plusSeconds(1));
        mFirst.observeKey(START.plusSeconds(1));
        mFirst.decide(new LeaseEvent.TimerFired(), START.plusSeconds(2));
        assertThat(mFirst.mAcquired, contains("none"));
    }

    /**
     * Guards against handover data of unknown origin: after a write without a reply the next holder
     * cannot know which value it replaced.
     */
    @Test
    void writeOfUnknownOutcomeYieldsNoHandover() {
        mFirst.compete(START);
        mSecond.compete(START);
        mFirst.decide(
                new LeaseEvent.HandoverRequested(NAME, "handover data"), START.plusSeconds(1));
        mLosesReplies = true;
        mSecond.observeKey(START.plusSeconds(1));
        mLosesReplies = false;
        mSecond.decide(new LeaseEvent.TimerFired(), START.plusSeconds(1));
        assertThat(mSecond.mAcquired, contains("none"));
    }

    private final class Daemon {
        final List<String> mAcquired = new ArrayList<>();
        private final DefaultLeaseDecider mDecider;
        private final long mLease;

        Daemon(String name, long lease) {
            mLease = lease;
            mDecider =
                    new DefaultLeaseDecider(
                            new MemberId(name),
                            key -> new StoreKey("/test/" + key),
                            LeaseOptions.DEFAULT,
                            new Random(lease));
        }

        void compete(Instant now) {
            decide(new LeaseEvent.CandidaciesChanged(List.of(new LeaseCandidacy(NAME, 0))), now);
        }

        void observeKey(Instant now) {
            StoredValue stored = mStored;
            if (stored != null) {
                String handover = LeaseValueCodec.decode(stored.bytes()).orElseThrow().handover();
                decide(new LeaseEvent.KeyReleased(NAME, stored.revision(), handover), now);
            }
        }

        void decide(LeaseEvent event, Instant now) {
            for (LeaseDecision decision : mDecider.decide(event, now)) {
                execute(decision, now);
            }
        }

        private void execute(LeaseDecision decision, Instant now) {
            if (decision instanceof LeaseDecision.GrantServiceLease grant) {
                StoreLeaseResult held =
                        new StoreLeaseResult.Held(new StoreLeaseId(mLease), Duration.ofSeconds(6));
                decide(new LeaseEvent.ServiceLeaseReplied(grant.operation(), held), now);
            } else if (decision instanceof LeaseDecision.RenewServiceLease renew) {
                StoreLeaseResult held =
                        new StoreLeaseResult.Held(new StoreLeaseId(mLease), Duration.ofSeconds(6));
                decide(new LeaseEvent.ServiceLeaseReplied(renew.operation(), held), now);
            } else if (decision instanceof LeaseDecision.WriteKey write) {
                decide(new LeaseEvent.KeyWriteReplied(write.operation(), write(write)), now);
            } else if (decision instanceof LeaseDecision.ReadKey read) {
                List<StoredValue> found = mStored == null ? List.of() : List.of(mStored);
                decide(
                        new LeaseEvent.KeyReadReplied(
                                read.operation(), new ReadResult.Found(found)),
                        now);
            } else if (decision instanceof LeaseDecision.LeaseAcquired acquired) {
                mAcquired.add(acquired.handover() == null ? "none" : acquired.handover());
            }
        }

        private WriteResult write(LeaseDecision.WriteKey write) {
            CompareAndSwap command = write.command();
            Revision current = mStored == null ? Revision.ABSENT : mStored.revision();
            if (!current.equals(command.expected())) {
                return new WriteResult.Conflict(mStored);
            }
            Revision revision = new Revision(++mRevision);
            mStored = new StoredValue(command.key(), command.bytes(), revision);
            return mLosesReplies
                    ? new WriteResult.Unknown("no reply")
                    : new WriteResult.Written(revision);
        }
    }
}
