package org.oleanderspring.coordination.watch.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.ChangesResult;
import org.oleanderspring.coordination.store.query.PageResult;
import org.oleanderspring.coordination.store.query.StoreChange;
import org.oleanderspring.coordination.watch.WatchOptions;

class DefaultWatchDeciderTest {
    private static final StoreKey FIRST = new StoreKey("/first/");
    private static final StoreKey SECOND = new StoreKey("/second/");
    private static final Duration LONG_PAUSE = Duration.ofSeconds(20);
    private static final StoreChange CHANGE = new StoreChange.Removed(new StoreKey("/first/key"));

    private final DefaultWatchDecider mDecider =
            new DefaultWatchDecider(
                    new WatchOptions(Duration.ofSeconds(3), Duration.ofMillis(800), 2_000),
                    new SplittableRandom(3));
    private Instant mNow = Instant.parse("2026-12-06T00:00:00Z");

    private List<WatchDecision> decide(WatchEvent event) {
        return mDecider.decide(event, mNow);
    }

    private void pass(long millis) {
        mNow = mNow.plusMillis(millis);
    }

    /** Applies an event, and lets the time pass over which calls after an outage are spread. */
    private List<WatchDecision> decideAndSpread(WatchEvent event) {
        List<WatchDecision> decisions = new ArrayList<>(decide(event));
        pass(10);
        decisions.addAll(decide(new WatchEvent.TimerFired()));
        return decisions;
    }

    /** Follows a prefix and answers its list. Returns the poll that follows. */
    private WatchDecision.Poll follow(StoreKey prefix) {
        WatchDecision.ReadPage read =
                (WatchDecision.ReadPage) decide(new WatchEvent.PrefixFollowed(prefix)).get(0);
        List<WatchDecision> decisions =
                decide(
                        new WatchEvent.PageReceived(
                                read.call(),
                                new PageResult.Page(List.of(), false, new Revision(10))));
        return (WatchDecision.Poll) decisions.get(1);
    }

    private static WatchEvent answer(WatchDecision.Poll poll, StoreChange... changes) {
        return new WatchEvent.ChangesReceived(
                poll.call(), new ChangesResult.Changes(List.of(changes), new Revision(20)));
    }

    private static WatchEvent failure(WatchDecision.Poll poll) {
        return new WatchEvent.ChangesReceived(
                poll.call(), new ChangesResult.Unavailable("no answer"));
    }

    /** The holder of a lease may choose its pause before its watch has begun. */
    @Test
    void pauseChosenBeforeThePrefixIsFollowedIsKept() {
        decide(new WatchEvent.PauseChanged(FIRST, LONG_PAUSE));
        WatchDecision.Poll poll = follow(FIRST);
        assertThat(
                decide(answer(poll, CHANGE)),
                contains(new WatchDecision.PublishChanges(FIRST, List.of(CHANGE))));
        assertThat(mDecider.nextWake(), equalTo(Optional.of(mNow.plus(LONG_PAUSE))));
    }

    /** A lost answer to one call must not look like an outage in which entries lapse. */
    @Test
    void singleLostAnswerInterruptsNoOtherWatch() {
        follow(FIRST);
        decide(new WatchEvent.StoreFailed("no answer"));
        pass(200);
        List<WatchDecision> decisions = decideAndSpread(new WatchEvent.StoreAnswered());
        assertThat(decisions, hasSize(1));
        assertThat(decisions.get(0), instanceOf(WatchDecision.Poll.class));
    }

    /**
     * Entries that lapsed because the service answered nobody must not be taken for removed, also
     * if the waiting poll had not failed yet.
     */
    @Test
    void longSilenceIsReportedAsAnInterruptionBeforeTheNextAnswer() {
        follow(FIRST);
        pass(1_500);
        decide(new WatchEvent.StoreFailed("no answer"));
        pass(500);
        List<WatchDecision> decisions = decideAndSpread(new WatchEvent.StoreAnswered());
        assertThat(decisions.get(0), instanceOf(WatchDecision.ReportInterruption.class));
        WatchDecision.Poll poll = (WatchDecision.Poll) decisions.get(1);
        assertThat(
                decide(answer(poll, CHANGE)),
                contains(
                        new WatchDecision.ReportResumption(FIRST, Duration.ofMillis(2_010)),
                        new WatchDecision.PublishChanges(FIRST, List.of(CHANGE))));
    }

    /** A late answer to a call that was given up must not be applied after a newer one. */
    @Test
    void answerToACallThatWasGivenUpIsIgnored() {
        WatchDecision.Poll old = follow(FIRST);
        decide(new WatchEvent.StoreFailed("no answer"));
        decideAndSpread(new WatchEvent.StoreAnswered());
        assertThat(decide(answer(old, CHANGE)), is(empty()));
    }

    /** During an outage the watches together must not make a call each. */
    @Test
    void oneWatchAtATimeProbesTheService() {
        WatchDecision.Poll first = follow(FIRST);
        WatchDecision.Poll second = follow(SECOND);
        decide(failure(first));
        decide(failure(second));
        pass(400);
        List<WatchDecision> decisions = decide(new WatchEvent.TimerFired());
        assertThat(decisions, hasSize(1));
        WatchDecision.Poll probe = (WatchDecision.Poll) decisions.get(0);
        assertThat(probe.longestWait(), equalTo(Duration.ZERO));
        pass(10);
        decisions = decideAndSpread(answer(probe));
        assertThat(
                decisions,
                contains(
                        instanceOf(WatchDecision.ReportResumption.class),
                        instanceOf(WatchDecision.Poll.class),
                        instanceOf(WatchDecision.Poll.class)));
    }

    /** A single silent connection is noticed by what another daemon has read. */
    @Test
    void changeThatAnotherDaemonHasSeenIsPolledFor() {
        WatchDecision.Poll poll = follow(FIRST);
        pass(500);
        decide(new WatchEvent.ChangeReported(FIRST, new Revision(11)));
        assertThat(decide(new WatchEvent.TimerFired()), is(empty()));
        pass(150);
        List<WatchDecision> decisions = decide(new WatchEvent.TimerFired());
        assertThat(decisions, hasSize(1));
        WatchDecision.Poll repeated = (WatchDecision.Poll) decisions.get(0);
        assertThat(repeated.after(), equalTo(poll.after()));
        pass(150);
        assertThat(decide(new WatchEvent.TimerFired()), is(empty()));
    }

    /** A change that this daemon has read itself must cause no call. */
    @Test
    void reportOfAKnownChangeCausesNoCall() {
        follow(FIRST);
        decide(new WatchEvent.ChangeReported(FIRST, new Revision(10)));
        pass(300);
        assertThat(decide(new WatchEvent.TimerFired()), is(empty()));
    }

    /** An answer that cannot be read must not be polled after again and again. */
    @Test
    void unreadableChangesAreListedAnew() {
        WatchDecision.Poll poll = follow(FIRST);
        decide(
                new WatchEvent.ChangesReceived(
                        poll.call(), new ChangesResult.Unreadable("no JSON")));
        pass(250);
        List<WatchDecision> decisions = decide(new WatchEvent.TimerFired());
        assertThat(decisions, contains(instanceOf(WatchDecision.ReadPage.class)));
    }

    /** A change between two pages of a list must not be missed. */
    @Test
    void pollsStartFromTheRevisionOfTheFirstPage() {
        WatchDecision.ReadPage read =
                (WatchDecision.ReadPage) decide(new WatchEvent.PrefixFollowed(FIRST)).get(0);
        StoredValue value = new StoredValue(new StoreKey("/first/a"), new byte[0], new Revision(5));
        List<WatchDecision> decisions =
                decide(
                        new WatchEvent.PageReceived(
                                read.call(),
                                new PageResult.Page(List.of(value), true, new Revision(30))));
        WatchDecision.ReadPage next = (WatchDecision.ReadPage) decisions.get(0);
        assertThat(next.after(), equalTo(value.key()));
        decisions =
                decide(
                        new WatchEvent.PageReceived(
                                next.call(),
                                new PageResult.Page(List.of(), false, new Revision(33))));
        assertThat(
                decisions.get(0), equalTo(new WatchDecision.PublishValues(FIRST, List.of(value))));
        assertThat(((WatchDecision.Poll) decisions.get(1)).after(), equalTo(new Revision(30)));
    }

    /** Identities of calls must not repeat, or a late answer could be taken for a new one. */
    @Test
    void callsHaveDifferentIdentities() {
        StoreOperationId first = follow(FIRST).call();
        StoreOperationId second = follow(SECOND).call();
        assertThat(first.equals(second), is(false));
    }

    /**
     * Guards against changes that are missed because a poll goes on after a revision of an earlier
     * era, which the service gives out again.
     */
    @Test
    void risenEraListsAllPrefixesAgain() {
        WatchDecision.Poll poll = follow(FIRST);
        follow(SECOND);
        Revision risen = new Revision(new StoreEra(2), 20);
        List<WatchDecision> decisions =
                new ArrayList<>(
                        decide(
                                new WatchEvent.ChangesReceived(
                                        poll.call(),
                                        new ChangesResult.Changes(List.of(CHANGE), risen))));
        assertThat(
                decisions.subList(0, 2),
                contains(
                        new WatchDecision.ReportRestoration(FIRST, new StoreEra(2)),
                        new WatchDecision.ReportRestoration(SECOND, new StoreEra(2))));
        pass(10);
        decisions.addAll(decide(new WatchEvent.TimerFired()));
        assertThat(
                decisions.stream()
                        .filter(decision -> decision instanceof WatchDecision.ReadPage)
                        .map(decision -> ((WatchDecision.ReadPage) decision).prefix())
                        .toList(),
                containsInAnyOrder(FIRST, SECOND));
    }

    /** Guards against values of an earlier era that replace those of the present one. */
    @Test
    void answerOfAnEarlierEraCountsAsAFailedCall() {
        WatchDecision.Poll poll = follow(FIRST);
        decide(new WatchEvent.StoreAnswered(new StoreEra(2)));
        pass(10);
        List<WatchDecision> list = decide(new WatchEvent.TimerFired());
        assertThat(decide(answer(poll, CHANGE)), is(empty()));
        WatchDecision.ReadPage read = (WatchDecision.ReadPage) list.get(0);
        List<WatchDecision> decisions =
                decide(
                        new WatchEvent.PageReceived(
                                read.call(),
                                new PageResult.Page(List.of(), false, new Revision(10))));
        assertThat(decisions.get(0), instanceOf(WatchDecision.ReportInterruption.class));
    }
}
