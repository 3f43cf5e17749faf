package org.oleanderspring.daemon.gateway.process.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.PrefixListener;
import org.oleanderspring.coordination.store.query.StoreChange;
import org.oleanderspring.daemon.gateway.GatewayKeys;

/** Guards against updates of one prefix that reach the listener of another, or none. */
class PrefixSplitterTest {
    private final List<String> mCalls = new ArrayList<>();
    private final PrefixSplitter mSplitter =
            new PrefixSplitter(
                    Map.of(
                            GatewayKeys.CONFIGURATION, new Listener("configuration"),
                            GatewayKeys.DAEMONS, new Listener("daemons")));

    private static StoredValue value(String path) {
        return new StoredValue(new StoreKey(path), new byte[0], new Revision(5));
    }

    @Test
    void changesReachTheListenerOfTheirPrefix() {
        mSplitter.changed(
                List.of(
                        new StoreChange.Written(value("/oleanderspring/leases/placement")),
                        new StoreChange.Removed(new StoreKey("/oleanderspring/quarantine")),
                        new StoreChange.Written(value("/other/key"))));
        assertThat(mCalls, contains("daemons changed 2"));
    }

    @Test
    void everyListenerReceivesAListEvenWithoutValues() {
        mSplitter.listed(List.of(value("/op/config")));
        mCalls.sort(null);
        assertThat(mCalls, contains("configuration listed 1", "daemons listed 0"));
    }

    @Test
    void everyListenerLearnsOfAnInterruption() {
        mSplitter.interrupted("down");
        mSplitter.resumed(Duration.ofSeconds(1));
        mCalls.sort(null);
        assertThat(
                mCalls,
                contains(
                        "configuration interrupted",
                        "configuration resumed",
                        "daemons interrupted",
                        "daemons resumed"));
    }

    private final class Listener implements PrefixListener {
        private final String mName;

        Listener(String name) {
            mName = name;
        }

        @Override
        public void listed(List<StoredValue> values) {
            mCalls.add(mName + " listed " + values.size());
        }

        @Override
        public void changed(List<StoreChange> changes) {
            mCalls.add(mName + " changed " + changes.size());
        }

        @Override
        public void restored(StoreEra era) {}

        @Override
        public void interrupted(String reason) {
            mCalls.add(mName + " interrupted");
        }

        @Override
        public void resumed(Duration outdatedFor) {
            mCalls.add(mName + " resumed");
        }
    }
}
