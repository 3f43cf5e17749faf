package org.oleanderspring.coordination.dispatch.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.oleanderspring.coordination.dispatch.DispatchRecord;
import org.oleanderspring.coordination.dispatch.KeyHash;
import org.oleanderspring.coordination.dispatch.RecordState;

class RecordIndexProperties {
    private static final int LATEST_SECONDS = 100;
    private static final Duration RETENTION = Duration.ofSeconds(50);

    /**
     * Guards against a record that is lost when slots collide, the table grows or records expire.
     */
    @Property(seed = "8330", tries = 300)
    void indexEqualsMap(@ForAll("records") List<DispatchRecord> records) {
        RecordIndex index = new RecordIndex();
        Map<KeyHash, DispatchRecord> model = new HashMap<>();
        for (int number = 0; number < records.size(); number++) {
            index.put(records.get(number));
            model.put(records.get(number).key(), records.get(number));
            if (number % 40 == 39) {
                Instant now = Instant.ofEpochSecond(LATEST_SECONDS);
                index.removeExpired(RETENTION, now);
                model.values().removeIf(record -> record.isExpired(RETENTION, now));
            }
            assertThat(index.size(), is(model.size()));
        }
        records.forEach(record -> assertThat(index.get(record.key()), is(model.get(record.key()))));
    }

    /**
     * Generates keys from few low halves, so that slots collide, and few high halves, so that keys
     * repeat.
     */
    @Provide
    Arbitrary<List<DispatchRecord>> records() {
        Arbitrary<KeyHash> keys =
                Combinators.combine(
                                Arbitraries.longs().between(0, 20),
                                Arbitraries.longs().between(0, 7))
                        .as(KeyHash::new);
        Arbitrary<Long> seconds = Arbitraries.longs().between(0, LATEST_SECONDS);
        return Combinators.combine(keys, Arbitraries.of(RecordState.values()), seconds)
                .as(DispatchRecord::new)
                .list()
                .ofMaxSize(300);
    }
}
