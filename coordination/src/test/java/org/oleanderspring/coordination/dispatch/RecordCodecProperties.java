package org.oleanderspring.coordination.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;

class RecordCodecProperties {
    /** Guards against a field that is lost or changed by encoding and decoding. */
    @Property(seed = "8310", tries = 200)
    void activeValueSurvivesEncoding(@ForAll("activeValues") ActiveValue value) {
        byte[] bytes = RecordCodec.encode(value);
        assertThat(RecordCodec.decodeActive(bytes), is(new DecodeResult.Decoded<>(value)));
    }

    /** Guards against decoding a damaged or truncated value as records or as an empty value. */
    @Property(seed = "8311", tries = 1_000)
    void damagedValueIsInvalid(
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
        assertThat(RecordCodec.decodeActive(damaged), instanceOf(DecodeResult.Invalid.class));
    }

    /** Guards against decoding a value of one kind as a value of the other kind. */
    @Property(seed = "8312", tries = 50)
    void kindIsChecked(@ForAll("activeValues") ActiveValue value) {
        SealedValue sealed = new SealedValue(value.partition(), 1, 2, value.records());
        byte[] bytes = RecordCodec.encode(sealed);
        assertThat(RecordCodec.decodeSealed(bytes), is(new DecodeResult.Decoded<>(sealed)));
        assertThat(RecordCodec.decodeActive(bytes), instanceOf(DecodeResult.Invalid.class));
    }

    /** Guards against an incompatible change of the stored format without a new format version. */
    @Example
    void storedFormatIsUnchanged() {
        ActiveValue value =
                new ActiveValue(
                        new PartitionId(3),
                        16,
                        new FencingToken(5),
                        new MemberId("d1"),
                        7,
                        List.of(new SealedSegment(2, 4, 6, 100)),
                        List.of(new DispatchRecord(new KeyHash(-1, 1), RecordState.RAN, 200)));
        assertThat(
                HexFormat.of().formatHex(RecordCodec.encode(value)),
                is(
                        "4f53445201010000000300000010000000000000000500026431000000000000"
                                + "0007000000010000000200000000000000040000000000000006000000640000"
                                + "0001ffffffffffffffff000000000000000101000000c8f8df2090"));
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
