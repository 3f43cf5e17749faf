package org.oleanderspring.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberState;
import org.oleanderspring.coordination.membership.MembershipMessage;
import org.oleanderspring.coordination.membership.MembershipOptions;
import org.oleanderspring.coordination.membership.command.DefaultMembershipDecider;
import org.oleanderspring.coordination.membership.command.MembershipDecision;
import org.oleanderspring.coordination.membership.command.MembershipEvent;
import org.oleanderspring.peer.codec.PeerCodec;
import org.oleanderspring.peer.codec.PeerDecodeResult;

class PeerCodecProperties {
    private static final Address SENDER = new Address("10.0.0.9", 7_101);

    private final PeerCodec mCodec = new PeerCodec();

    /** Guards against a field that is lost or changed by encoding and decoding. */
    @Example
    void everyMessageIsDecodedAsItWasEncoded() {
        List<PeerMessage> messages = new ArrayList<>(PeerSamples.framedMessages());
        messages.addAll(PeerSamples.membershipMessages());
        for (PeerMessage message : messages) {
            byte[] bytes = mCodec.encode(SENDER, message);
            PeerDecodeResult decoded = mCodec.decode(ByteBuffer.wrap(bytes));
            assertThat(message.toString(), decoded, instanceOf(PeerDecodeResult.Decoded.class));
            ReceivedMessage received = ((PeerDecodeResult.Decoded) decoded).received();
            assertThat(received.message().getClass(), is((Object) message.getClass()));
            assertThat(mCodec.encode(received.sender(), received.message()), is(bytes));
            if (!(message instanceof PeerMessage.Membership)) {
                assertThat(received, is(new ReceivedMessage(SENDER, message)));
            }
        }
    }

    /** Guards against bytes that make the decoder throw, which would end the receiving thread. */
    @Property(seed = "20261205", tries = 3_000)
    void decoderNeverThrowsOnCorruptedBytes(
            @ForAll("messages") PeerMessage message,
            @ForAll @IntRange(max = 5_000) int position,
            @ForAll byte change,
            @ForAll boolean truncate) {
        byte[] bytes = mCodec.encode(SENDER, message);
        int index = position % bytes.length;
        bytes[index] ^= change;
        int length = truncate ? index : bytes.length;
        mCodec.decode(ByteBuffer.wrap(bytes, 0, length));
        mCodec.decodeDigest(bytes);
    }

    /**
     * Guards against a digest whose age is rounded down, so that its sender appears to have more
     * recent information than it has.
     */
    @Property(seed = "20261206", tries = 500)
    void ageOfDigestIsNeverRoundedDown(@ForAll @IntRange int nanos) {
        Duration age = Duration.ofNanos(nanos);
        byte[] bytes = mCodec.encodeDigest(new DocumentDigest(List.of(), age));
        Duration decoded = mCodec.decodeDigest(bytes).orElseThrow().serviceAge();
        assertThat(decoded.compareTo(age) >= 0, is(true));
    }

    /** Guards against membership datagrams above 1,200 bytes when many members change at once. */
    @Example
    void membershipFitsInADatagram() {
        Instant now = Instant.EPOCH;
        byte[] digest = mCodec.encodeDigest(PeerSamples.DIGEST);
        DefaultMembershipDecider decider =
                new DefaultMembershipDecider(
                        PeerSamples.member(0, MemberState.ALIVE),
                        MembershipOptions.defaults(),
                        at -> digest,
                        new SplittableRandom(1),
                        now);
        List<Member> members = new ArrayList<>();
        for (int index = 1; index < 1_700; index++) {
            members.add(PeerSamples.member(index, MemberState.ALIVE));
        }
        MembershipMessage all =
                new MembershipMessage.Probe(1, members.get(0), true, members, digest);
        for (MembershipDecision decision :
                decider.decide(new MembershipEvent.MessageReceived(all), now)) {
            if (decision instanceof MembershipDecision.SendMessage send) {
                byte[] bytes = mCodec.encode(SENDER, new PeerMessage.Membership(send.message()));
                assertThat(bytes.length, lessThanOrEqualTo(1_200));
                assertThat("updates", send.message().updates().size() > 5, is(true));
            }
        }
    }

    @Provide
    Arbitrary<PeerMessage> messages() {
        List<PeerMessage> messages = new ArrayList<>(PeerSamples.framedMessages());
        messages.addAll(PeerSamples.membershipMessages());
        return Arbitraries.of(messages);
    }
}
