package org.oleanderspring.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.duty.command.OfferResult;
import org.oleanderspring.peer.codec.PeerCodec;
import org.oleanderspring.peer.command.PeerStartResult;
import org.oleanderspring.peer.command.PeerTransport;

class PeerTransportTest {
    private static final String LOOPBACK = "127.0.0.1";
    private static final long WAIT_SECONDS = 20;
    private static final PeerMessage MESSAGE = new PeerMessage.DocumentPush(PeerSamples.DOCUMENT);

    private final BlockingQueue<ReceivedMessage> mReceived = new ArrayBlockingQueue<>(100);
    private PeerTransport mReceiver;
    private PeerTransport mSender;

    @BeforeEach
    void startTransports() {
        mReceiver = startTransport(PeerLimits.defaults());
        mSender = startTransport(PeerLimits.defaults());
    }

    @AfterEach
    void closeTransports() {
        mSender.close();
        mReceiver.close();
    }

    private PeerTransport startTransport(PeerLimits limits) {
        PeerStartResult start =
                PeerTransport.start(
                        LOOPBACK,
                        0,
                        message ->
                                mReceived.offer(message) ? OfferResult.ACCEPTED : OfferResult.FULL,
                        limits);
        return ((PeerStartResult.Started) start).transport();
    }

    /** Guards against frames that are split, merged, reordered or lost on one connection. */
    @Test
    void framesArriveInOrderOnOneConnection() throws InterruptedException {
        for (PeerMessage message : PeerSamples.framedMessages()) {
            assertThat(mSender.send(mReceiver.address(), message), is(SendResult.ACCEPTED));
        }
        for (PeerMessage message : PeerSamples.framedMessages()) {
            assertThat(nextReceived(), is(new ReceivedMessage(mSender.address(), message)));
        }
        assertThat(mReceiver.traffic().openConnections(), is(1));
        assertThat(
                mReceiver.traffic().messagesIn(), is((long) PeerSamples.framedMessages().size()));
        awaitCondition(() -> mSender.traffic().bytesOut() == mReceiver.traffic().bytesIn());
    }

    /**
     * Guards against membership messages that are sent by TCP, where one lost packet delays all
     * later messages.
     */
    @Test
    void membershipMessagesAreSentAsDatagrams() throws InterruptedException {
        for (PeerMessage message : PeerSamples.membershipMessages()) {
            assertThat(mSender.send(mReceiver.address(), message), is(SendResult.ACCEPTED));
            assertThat(
                    nextReceived().message().getClass(), is((Object) PeerMessage.Membership.class));
        }
        assertThat(mReceiver.traffic().openConnections(), is(0));
    }

    static List<PeerMessage> datagrams() {
        return PeerSamples.framedMessages().stream()
                .filter(
                        message ->
                                message instanceof PeerMessage.UseReport
                                        || message instanceof PeerMessage.ActivationRequest
                                        || message instanceof PeerMessage.ReadyNotice
                                        || message instanceof PeerMessage.ResidencyStatement
                                        || message instanceof PeerMessage.EndpointUseReport
                                        || message instanceof PeerMessage.EndpointLoadNotice)
                .toList();
    }

    /** Guards against a message type that is sent as a datagram but rejected by its receiver. */
    @ParameterizedTest
    @MethodSource("datagrams")
    void datagramsAreReceived(PeerMessage message) throws InterruptedException {
        assertThat(mSender.sendDatagram(mReceiver.address(), message), is(SendResult.ACCEPTED));
        assertThat(nextReceived(), is(new ReceivedMessage(mSender.address(), message)));
    }

    static List<byte[]> malformedFrames() {
        byte[] valid = new PeerCodec().encode(new Address(LOOPBACK, 1), MESSAGE);
        byte[] membership =
                new PeerCodec()
                        .encode(new Address(LOOPBACK, 1), PeerSamples.membershipMessages().get(0));
        return List.of(
                "GET / HTTP/1.1\r\n\r\n".getBytes(),
                frame(new byte[0]),
                frame(new byte[] {1, 2, 3, 4}),
                frame(Arrays.copyOf(valid, valid.length - 2)),
                frame(membership),
                ByteBuffer.allocate(4).putInt(-1).array(),
                ByteBuffer.allocate(4).putInt(PeerLimits.DEFAULT_FRAME_BYTES + 1).array());
    }

    /** Guards against a part of a message that is taken for the message, at each length of it. */
    @Test
    void messageThatBreaksOffIsNotReceived() throws IOException, InterruptedException {
        byte[] whole = frame(new PeerCodec().encode(mSender.address(), MESSAGE));
        for (int length = 0; length < whole.length; length++) {
            try (Socket socket = new Socket()) {
                socket.connect(socket(mReceiver.address()));
                socket.getOutputStream().write(whole, 0, length);
                // Every other connection is reset.
                if (length % 2 == 0) {
                    socket.setSoLinger(true, 0);
                }
            }
        }
        awaitCondition(() -> mReceiver.traffic().openConnections() == 0);
        assertThat(mSender.send(mReceiver.address(), MESSAGE), is(SendResult.ACCEPTED));
        assertThat(nextReceived(), is(new ReceivedMessage(mSender.address(), MESSAGE)));
        assertThat("a part of a message", mReceived.poll(), is(nullValue()));
    }

    /** Guards against malformed data that is accepted as a message or stops the receiver. */
    @ParameterizedTest
    @MethodSource("malformedFrames")
    void malformedFrameIsCountedAndClosesTheConnection(byte[] malformedFrame)
            throws IOException, InterruptedException {
        byte[] valid = frame(new PeerCodec().encode(mSender.address(), MESSAGE));
        try (Socket socket = new Socket()) {
            socket.connect(socket(mReceiver.address()));
            socket.getOutputStream()
                    .write(
                            ByteBuffer.allocate(malformedFrame.length + valid.length)
                                    .put(malformedFrame)
                                    .put(valid)
                                    .array());
            awaitCondition(() -> mReceiver.traffic().malformedIn() == 1);
            awaitCondition(() -> mReceiver.traffic().openConnections() == 0);
        }
        assertThat("a message after a malformed frame", mReceived.poll(), is(nullValue()));
        assertThat(mSender.send(mReceiver.address(), MESSAGE), is(SendResult.ACCEPTED));
        assertThat(nextReceived().message(), is(MESSAGE));
        assertThat(mReceiver.traffic().malformedIn(), is(1L));
    }

    /**
     * Guards against accepting datagrams that are too large, malformed, or of a type that is only
     * allowed in frames.
     */
    @Test
    void malformedDatagramsAreCounted() throws IOException, InterruptedException {
        byte[] framed = new PeerCodec().encode(mSender.address(), MESSAGE);
        List<byte[]> datagrams = List.of(new byte[] {7}, new byte[0], new byte[1_500], framed);
        try (DatagramSocket socket = new DatagramSocket()) {
            for (byte[] bytes : datagrams) {
                socket.send(new DatagramPacket(bytes, bytes.length, socket(mReceiver.address())));
            }
        }
        awaitCondition(() -> mReceiver.traffic().malformedIn() == datagrams.size());
        mSender.send(mReceiver.address(), PeerSamples.membershipMessages().get(0));
        assertThat(nextReceived().message().getClass(), is((Object) PeerMessage.Membership.class));
    }

    /** Guards against a sender that blocks or queues without limit when a peer stops reading. */
    @Test
    void queueToPeerThatDoesNotReadIsBounded() throws IOException {
        byte[] content = new byte[100_000];
        PeerMessage large =
                new PeerMessage.DocumentPush(
                        new VersionedDocument(PeerSamples.DOCUMENT.name(), 1, content));
        try (ServerSocket unresponsive = new ServerSocket()) {
            unresponsive.bind(new InetSocketAddress(LOOPBACK, 0));
            Address address = new Address(LOOPBACK, unresponsive.getLocalPort());
            int accepted = 0;
            SendResult last = mSender.send(address, large);
            while (last == SendResult.ACCEPTED) {
                accepted++;
                assertThat("messages accepted", accepted, lessThan(1_000));
                last = mSender.send(address, large);
            }
            assertThat(last, is(SendResult.QUEUE_FULL));
        }
        assertThat(mSender.send(mReceiver.address(), MESSAGE), is(SendResult.ACCEPTED));
    }

    /** Guards against messages to an unreachable peer that stay in the queue indefinitely. */
    @Test
    void messagesToUnreachablePeerAreDropped() throws IOException {
        int port;
        try (ServerSocket closed = new ServerSocket(0)) {
            port = closed.getLocalPort();
        }
        mSender.send(new Address(LOOPBACK, port), MESSAGE);
        awaitCondition(() -> mSender.traffic().droppedOut() == 1);
    }

    /**
     * Guards against idle connections that stay open indefinitely, and against a peer that cannot
     * be reached after its connection was closed.
     */
    @Test
    void idleConnectionIsClosedAndReopened() throws InterruptedException {
        PeerLimits defaults = PeerLimits.defaults();
        PeerLimits shortIdle =
                new PeerLimits(
                        defaults.frameBytes(),
                        defaults.datagramBytes(),
                        defaults.queuedBytesPerPeer(),
                        defaults.queuedBytes(),
                        defaults.connectTimeout(),
                        Duration.ofMillis(100),
                        1);
        try (PeerTransport sender = startTransport(shortIdle)) {
            for (int round = 0; round < 2; round++) {
                sender.send(mReceiver.address(), MESSAGE);
                assertThat(nextReceived().message(), is(MESSAGE));
                awaitCondition(() -> sender.traffic().openConnections() == 0);
                awaitCondition(() -> mReceiver.traffic().openConnections() == 0);
            }
        }
    }

    /** Guards against a result that does not state why a message could not be sent. */
    @Test
    void sendResultStatesWhyMessageWasNotAccepted() {
        byte[] tooLarge = new byte[PeerLimits.DEFAULT_FRAME_BYTES];
        PeerMessage large =
                new PeerMessage.DocumentPush(
                        new VersionedDocument(PeerSamples.DOCUMENT.name(), 1, tooLarge));
        assertThat(mSender.send(mReceiver.address(), large), is(SendResult.TOO_LARGE));
        assertThat(
                mSender.send(new Address("localhost", 1), MESSAGE),
                is(SendResult.INVALID_RECEIVER));
        mSender.close();
        assertThat(mSender.send(mReceiver.address(), MESSAGE), is(SendResult.CLOSED));
        PeerStartResult startOnUsedPort =
                PeerTransport.start(
                        LOOPBACK,
                        mReceiver.address().port(),
                        message -> OfferResult.ACCEPTED,
                        PeerLimits.defaults());
        assertThat(startOnUsedPort.getClass(), is((Object) PeerStartResult.Failed.class));
    }

    private ReceivedMessage nextReceived() throws InterruptedException {
        ReceivedMessage message = mReceived.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat("message received within the time limit", message, is(notNullValue()));
        return message;
    }

    private static void awaitCondition(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertThat(
                    "the condition did not hold within " + WAIT_SECONDS + " s: time in ns",
                    System.nanoTime(),
                    lessThan(end));
            try {
                Thread.sleep(5);
            } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
            }
        }
    }

    private static byte[] frame(byte[] content) {
        return ByteBuffer.allocate(4 + content.length).putInt(content.length).put(content).array();
    }

    private static InetSocketAddress socket(Address address) throws IOException {
        return new InetSocketAddress(InetAddress.getByName(address.ip()), address.port());
    }
}
