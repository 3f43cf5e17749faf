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
import org.oleanderspring.peer.command.PeerNode;
import org.oleanderspring.peer.command.PeerStart;

class PeerNodeTest {
    private static final String LOOPBACK = "127.0.0.1";
    private static final long WAIT_SECONDS = 20;
    private static final PeerMessage MESSAGE = new PeerMessage.DocumentPush(PeerSamples.DOCUMENT);

    private final BlockingQueue<ReceivedMessage> mReceived = new ArrayBlockingQueue<>(100);
    private PeerNode mReceiver;
    private PeerNode mSender;

    @BeforeEach
    void startNodes() {
        mReceiver = start(PeerLimits.usual());
        mSender = start(PeerLimits.usual());
    }

    @AfterEach
    void closeNodes() {
        mSender.close();
        mReceiver.close();
    }

    private PeerNode start(PeerLimits limits) {
        PeerStart start =
                PeerNode.start(
                        LOOPBACK,
                        0,
                        message ->
                                mReceived.offer(message) ? OfferResult.ACCEPTED : OfferResult.FULL,
                        limits);
        return ((PeerStart.Started) start).node();
    }

    /** Guards against frames that are split, merged, reordered or lost on one connection. */
    @Test
    void framesArriveInOrderOnOneConnection() throws InterruptedException {
        for (PeerMessage message : PeerSamples.framedMessages()) {
            assertThat(mSender.send(mReceiver.address(), message), is(SendResult.ACCEPTED));
        }
        for (PeerMessage message : PeerSamples.framedMessages()) {
            assertThat(next(), is(new ReceivedMessage(mSender.address(), message)));
        }
        assertThat(mReceiver.traffic().openConnections(), is(1));
        assertThat(
                mReceiver.traffic().messagesIn(), is((long) PeerSamples.framedMessages().size()));
        await(() -> mSender.traffic().bytesOut() == mReceiver.traffic().bytesIn());
    }

    /** Guards against membership messages that travel by TCP, where one loss delays all others. */
    @Test
    void membershipTravelsByDatagram() throws InterruptedException {
        for (PeerMessage message : PeerSamples.membershipMessages()) {
            assertThat(mSender.send(mReceiver.address(), message), is(SendResult.ACCEPTED));
            assertThat(next().message().getClass(), is((Object) PeerMessage.Membership.class));
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
                                        || message instanceof PeerMessage.ResidencyStatement)
                .toList();
    }

    /** Guards against a kind of message that is sent as a datagram and rejected by its receiver. */
    @ParameterizedTest
    @MethodSource("datagrams")
    void datagramsOfDaemonsArrive(PeerMessage message) throws InterruptedException {
        assertThat(mSender.sendDatagram(mReceiver.address(), message), is(SendResult.ACCEPTED));
        assertThat(next(), is(new ReceivedMessage(mSender.address(), message)));
    }

    static List<byte[]> garbage() {
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

    /** Guards against garbage on the port that is taken for a message or stops the node. */
    @ParameterizedTest
    @MethodSource("garbage")
    void garbageIsCountedAndTheConnectionClosed(byte[] garbage)
            throws IOException, InterruptedException {
        byte[] valid = frame(new PeerCodec().encode(mSender.address(), MESSAGE));
        try (Socket socket = new Socket()) {
            socket.connect(socket(mReceiver.address()));
            socket.getOutputStream()
                    .write(
                            ByteBuffer.allocate(garbage.length + valid.length)
                                    .put(garbage)
                                    .put(valid)
                                    .array());
            await(() -> mReceiver.traffic().malformedIn() == 1);
            await(() -> mReceiver.traffic().openConnections() == 0);
        }
        assertThat("a message behind garbage", mReceived.poll(), is(nullValue()));
        assertThat(mSender.send(mReceiver.address(), MESSAGE), is(SendResult.ACCEPTED));
        assertThat(next().message(), is(MESSAGE));
        assertThat(mReceiver.traffic().malformedIn(), is(1L));
    }

    /** Guards against datagrams that are too large, garbage, or not about membership. */
    @Test
    void garbageDatagramsAreCounted() throws IOException, InterruptedException {
        byte[] framed = new PeerCodec().encode(mSender.address(), MESSAGE);
        List<byte[]> datagrams = List.of(new byte[] {7}, new byte[0], new byte[1_500], framed);
        try (DatagramSocket socket = new DatagramSocket()) {
            for (byte[] bytes : datagrams) {
                socket.send(new DatagramPacket(bytes, bytes.length, socket(mReceiver.address())));
            }
        }
        await(() -> mReceiver.traffic().malformedIn() == datagrams.size());
        mSender.send(mReceiver.address(), PeerSamples.membershipMessages().get(0));
        assertThat(next().message().getClass(), is((Object) PeerMessage.Membership.class));
    }

    /** Guards against a sender that blocks or queues without bound when a peer stops reading. */
    @Test
    void queueToASilentPeerIsBounded() throws IOException {
        byte[] content = new byte[100_000];
        PeerMessage large =
                new PeerMessage.DocumentPush(
                        new VersionedDocument(PeerSamples.DOCUMENT.name(), 1, content));
        try (ServerSocket silent = new ServerSocket()) {
            silent.bind(new InetSocketAddress(LOOPBACK, 0));
            Address address = new Address(LOOPBACK, silent.getLocalPort());
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

    /** Guards against messages to an absent peer that stay in the queue for ever. */
    @Test
    void messagesToAnAbsentPeerAreDropped() throws IOException {
        int port;
        try (ServerSocket closed = new ServerSocket(0)) {
            port = closed.getLocalPort();
        }
        mSender.send(new Address(LOOPBACK, port), MESSAGE);
        await(() -> mSender.traffic().droppedOut() == 1);
    }

    /** Guards against connections that stay open for ever, and peers lost after the closing. */
    @Test
    void idleConnectionIsClosedAndOpenedAgain() throws InterruptedException {
        PeerLimits usual = PeerLimits.usual();
        PeerLimits shortIdle =
                new PeerLimits(
                        usual.frameBytes(),
                        usual.datagramBytes(),
                        usual.queuedBytesPerPeer(),
                        usual.queuedBytes(),
                        usual.connectTimeout(),
                        Duration.ofMillis(100),
                        1);
        try (PeerNode sender = start(shortIdle)) {
            for (int round = 0; round < 2; round++) {
                sender.send(mReceiver.address(), MESSAGE);
                assertThat(next().message(), is(MESSAGE));
                await(() -> sender.traffic().openConnections() == 0);
                await(() -> mReceiver.traffic().openConnections() == 0);
            }
        }
    }

    /** Guards against a result that hides why a message cannot be sent. */
    @Test
    void refusalsAreTyped() {
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
        PeerStart second =
                PeerNode.start(
                        LOOPBACK,
                        mReceiver.address().port(),
                        message -> OfferResult.ACCEPTED,
                        PeerLimits.usual());
        assertThat(second.getClass(), is((Object) PeerStart.Failed.class));
    }

    private ReceivedMessage next() throws InterruptedException {
        ReceivedMessage message = mReceived.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat("a message in time", message, is(notNullValue()));
        return message;
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertThat("condition in time", System.nanoTime(), lessThan(end));
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
