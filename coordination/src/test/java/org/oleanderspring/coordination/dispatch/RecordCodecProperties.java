package org.oleanderspring.coordination.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;

class RecordCodecProperties {
    /** Guards against a field that is lost or changed by encoding. */
    @Property(seed = "8310", tries = 200)
    void activeValueSurvivesEncoding(@ForAll("activeValues") ActiveValue value) {
        byte[] bytes = RecordCodec.encode(value);
        assertThat(RecordCodec.decodeActive(bytes), is(new DecodeResult.Decoded<>(value)));
    }

    /** Guards against reading damaged content as records, or as an empty value. */
    @Property(seed = "8311", tries = 1_000)
    void damagedValueIsBroken(
            @ForAll("activeValues") ActiveValue value,
            @ForAll @IntRange(min = 0, max = 1_000_000) int position,
            @ForAll @IntRange(min = 1, max = 255) int change,
            @ForAll boolean truncate) {
        byte[] bytes = RecordCodec.encode(value);
        int index = position % bytes.length;
        byte[] damaged = truncate ? Arrays.copyOf(bytes, index) : bytes.clone();
        if (!truncate) {
            damaged[index] ^= (byte) change;
        }
        assertThat(RecordCodec.decodeActive(damaged), instanceOf(DecodeResult.Broken.class));
    }

    /** Guards against taking a value of one kind for one of the other kind. */
    @Property(seed = "8312", tries = 50)
    void kindsAreNotMixedUp(@ForAll("activeValues") ActiveValue value) {
        SealedValue sealed = new SealedValue(value.partition(), 1, 2, value.records());
        byte[] bytes = RecordCodec.encode(sealed);
        assertThat(RecordCodec.decodeSealed(bytes), is(new DecodeResult.Decoded<>(sealed)));
        assertThat(RecordCodec.decodeActive(bytes), instanceOf(DecodeResult.Broken.class));
    }

    @Provide
    Arbitrary<ActiveValue> activeValues() {
        Arbitrary<Long> seconds = Arbitraries.longs().between(0, 4_000_000_000L);
        Arbitrary<Long> numbers = Arbitraries.longs().greaterOrEqual(0);
        Arbitrary<KeyHash> keys =
                Combinators.combine(Arbitraries.longs(), Arbitraries.longs()).as(KeyHash::new);
        Arbitrary<List<DispatchRecord>> records =
                Combinators.combine(keys, Arbitraries.of(RecordState.values()), seconds)
                        .as(DispatchRecord::new)
                        .list()
                        .ofMaxSize(20);
        Arbitrary<List<SealedSegment>> segments =
                Combinators.combine(
                                Arbitraries.integers().between(0, 99), numbers, numbers, seconds)
                        .as(SealedSegment::new)
                        .list()
                        .ofMaxSize(5);
        Arbitrary<String> owners = Arbitraries.strings().alpha().numeric().ofLength(8);
        return Combinators.combine(numbers, owners, numbers, segments, records)
                .as(
                        (term, owner, write, listed, kept) ->
                                new ActiveValue(
                                        new PartitionId(3),
                                        16,
                                        new FencingToken(term),
                                        new MemberId(owner),
                                        write,
                                        listed,
                                        kept));
    }
}
