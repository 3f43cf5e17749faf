package org.oleanderspring.coordination.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.store.command.PrefixMirror;
import org.oleanderspring.coordination.store.query.StoreChange;

class PrefixMirrorTest {
    private static final Instant START = Instant.EPOCH;
    private static final StoreKey KEY = new StoreKey("/servers/a");

    private final PrefixMirror<String> mMirror =
            new PrefixMirror<>(Duration.ofSeconds(2), PrefixMirrorTest::decode);

    private static Optional<String> decode(StoredValue value) {
        String text = new String(value.bytes(), StandardCharsets.UTF_8);
        return text.equals("broken") ? Optional.empty() : Optional.of(text);
    }

    private static StoredValue value(StoreKey key, String text) {
        return new StoredValue(key, text.getBytes(StandardCharsets.UTF_8), new Revision(1));
    }

    private void remove(Instant now) {
        mMirror.changed(List.of(new StoreChange.Removed(KEY)), now);
    }

    /** Guards against a runner that receives requests after its entry was removed. */
    @Test
    void removalTakesEffectAtOnceWithoutAnOutage() {
        mMirror.listed(List.of(value(KEY, "one")), START);
        remove(START.plusSeconds(60));
        assertThat(mMirror.values(), is(List.of()));
    }

    /**
     * Guards against a fleet that loses all its runners after an outage of the key-value service.
     */
    @Test
    void valueRemovedInAnOutageIsKeptForTheGracePeriod() {
        mMirror.listed(List.of(value(KEY, "one")), START);
        mMirror.interrupted();
        mMirror.resumed(START.plusSeconds(30));
        remove(START.plusMillis(30_100));
        assertThat(mMirror.expire(START.plusSeconds(31)), is(false));
        assertThat(mMirror.values(), is(List.of("one")));
        assertThat(mMirror.expire(START.plusSeconds(32)), is(true));
        assertThat(mMirror.values(), is(List.of()));
    }

    /** Guards against dropping a runner that registered again within the grace period. */
    @Test
    void valueThatIsWrittenAgainIsKept() {
        mMirror.listed(List.of(value(KEY, "one")), START);
        mMirror.interrupted();
        mMirror.resumed(START.plusSeconds(30));
        mMirror.listed(List.of(), START.plusSeconds(30));
        mMirror.changed(List.of(new StoreChange.Written(value(KEY, "two"))), START.plusSeconds(31));
        assertThat(mMirror.expire(START.plusSeconds(40)), is(false));
        assertThat(mMirror.values(), is(List.of("two")));
    }

    /** Guards against a value that cannot be decoded but affects other values or stays in use. */
    @Test
    void valueThatCannotBeDecodedIsIgnored() {
        mMirror.listed(
                List.of(value(KEY, "one"), value(new StoreKey("/servers/b"), "broken")), START);
        assertThat(mMirror.values(), is(List.of("one")));
        mMirror.changed(List.of(new StoreChange.Written(value(KEY, "broken"))), START);
        assertThat(mMirror.values(), is(List.of()));
    }

    /**
     * Guards against a fleet-wide recomputation each time a runner rewrites an equal value to show
     * that it is alive.
     */
    @Test
    void rewritingAnEqualValueIsNoChange() {
        assertThat(mMirror.listed(List.of(value(KEY, "one")), START), is(true));
        assertThat(mMirror.listed(List.of(value(KEY, "one")), START), is(false));
        assertThat(written("one"), is(false));
        assertThat(written("two"), is(true));
        assertThat(written("broken"), is(true));
        assertThat(written("broken"), is(false));
        assertThat(written("two"), is(true));
        assertThat(mMirror.changed(List.of(new StoreChange.Removed(KEY)), START), is(true));
        assertThat(mMirror.changed(List.of(new StoreChange.Removed(KEY)), START), is(false));
    }

    private boolean written(String text) {
        return mMirror.changed(List.of(new StoreChange.Written(value(KEY, text))), START);
    }

    /**
     * Guards against requests to a runner that was seen to leave, because a copy of the key-value
     * service shows it as ready until it has written its entry again.
     */
    @Test
    void restoredValueIsHeldBackIfThePolicySaysSo() {
        PrefixMirror<String> mirror = leavingMirror();
        mirror.listed(List.of(value(KEY, "draining")), START);
        mirror.restored(START);
        mirror.listed(List.of(value(KEY, "ready")), START);
        assertThat(mirror.values(), is(List.of("draining")));
        assertThat(mirror.expire(START.plusSeconds(1)), is(false));
        assertThat(mirror.expire(START.plusSeconds(2)), is(true));
        assertThat(mirror.values(), is(List.of("ready")));
    }

    /** Guards against a value from the copy that replaces what its writer wrote since. */
    @Test
    void valueWrittenAfterTheRestorationEndsTheHolding() {
        PrefixMirror<String> mirror = leavingMirror();
        mirror.listed(List.of(), START);
        mirror.restored(START);
        mirror.listed(List.of(value(KEY, "ready")), START);
        assertThat(mirror.values(), is(List.of()));
        mirror.changed(List.of(new StoreChange.Written(value(KEY, "new"))), START.plusSeconds(1));
        assertThat(mirror.expire(START.plusSeconds(2)), is(false));
        assertThat(mirror.values(), is(List.of("new")));
    }

    /** Guards against a fleet without runners because the copy lacks those that came since. */
    @Test
    void valueThatTheCopyLacksIsKeptForTheGracePeriod() {
        mMirror.listed(List.of(value(KEY, "one")), START);
        mMirror.restored(START);
        mMirror.listed(List.of(), START);
        assertThat(mMirror.values(), is(List.of("one")));
        assertThat(mMirror.expire(START.plusSeconds(2)), is(true));
        assertThat(mMirror.values(), is(List.of()));
    }

    private static PrefixMirror<String> leavingMirror() {
        return new PrefixMirror<>(
                Duration.ofSeconds(2),
                PrefixMirrorTest::decode,
                (known, restored) -> known != null && !known.equals("draining"));
    }
}
