package org.oleanderspring.peer.command;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.duty.command.ByteBudget;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.peer.PeerLimits;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.ReceivedMessage;
import org.oleanderspring.peer.SendResult;
import org.oleanderspring.peer.codec.PeerCodec;
import org.oleanderspring.peer.query.PeerTraffic;

/**
 * Sends messages to other daemons and receives messages from them, on one port number for both TCP
 * and UDP. Membership messages are always sent by UDP. All other messages are sent by TCP, unless
 * {@link #sendDatagram} is called.
 *
 * <p>Messages are encoded on the calling thread and decoded on the event-loop threads. Received
 * messages are offered to a sink, which adds them to the rings of the duties. If a ring is full,
 * the message is dropped and counted; to its sender that is the same as a loss in the network.
 *
 * <p>Sending never blocks. The unsent bytes to each daemon and to all daemons are limited, and a
 * message beyond a limit is rejected with {@link SendResult#QUEUE_FULL}, so a peer that has stopped
 * responding cannot exhaust the memory. A connection carries frames only from the daemon that
 * opened it.
 */
public final class PeerTransport implements PeerSender, AutoCloseable {
    private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 20;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

    /**
     * The accepting side waits twice as long before it closes an idle connection. So the side that
     * opened it closes first, and no frame is in transit when the connection is closed.
     */
    private static final int INBOUND_IDLE_FACTOR = 2;

    private final PeerLimits mLimits;
    private final PeerCodec mCodec = new PeerCodec();
    private final TrafficCounter mTraffic = new TrafficCounter();
    private final ByteBudget mTotalBudget;
    private final MessageReceiver mReceiver;
    private final EventLoopGroup mEventLoops;
    private final Bootstrap mClientBootstrap;
    private final Map<InetSocketAddress, PeerConnection> mConnections = new ConcurrentHashMap<>();
    private volatile boolean mClosed;
    private @Nullable Channel mDatagramChannel;
    private @Nullable Address mAddress;

    private PeerTransport(EventSink<ReceivedMessage> sink, PeerLimits limits) {
        mLimits = limits;
        mTotalBudget = new ByteBudget(limits.queuedBytes());
        mReceiver = new MessageReceiver(mCodec, sink, mTraffic);
        mEventLoops =
                new MultiThreadIoEventLoopGroup(
                        limits.threads(),
                        new DefaultThreadFactory("peer", true),
                        NioIoHandler.newFactory());
        mClientBootstrap = clientBootstrap();
    }

    /**
     * Binds the port for TCP and UDP and starts to receive messages.
     *
     * @param ip the IP address to bind, to which peers send
     * @param port the port; 0 for any free port
     * @param sink receives messages on the event-loop threads; must not block
     * @param limits the sizes, queue limits and time-outs
     */
    public static PeerStartResult start(
            String ip, int port, EventSink<ReceivedMessage> sink, PeerLimits limits) {
        InetAddress address = parseIpAddress(ip);
        if (address == null) {
            return new PeerStartResult.Failed(ip + " is not an IP address literal");
        }
        PeerTransport transport = new PeerTransport(sink, limits);
        String failure = transport.bind(address, ip, port);
        if (failure != null) {
            transport.close();
            return new PeerStartResult.Failed(failure);
        }
        return new PeerStartResult.Started(transport);
    }

    /** Returns the bound address, with the actual port if port 0 was requested. */
    public Address address() {
        if (mAddress == null) {
            throw new IllegalStateException("the peer transport is not bound to an address");
        }
        return mAddress;
    }

    /** Returns the traffic counters; they are live and readable on any thread. */
    public PeerTraffic traffic() {
        return mTraffic;
    }

    @Override
    public SendResult send(Address receiver, PeerMessage message) {
        if (mClosed) {
            return SendResult.CLOSED;
        }
        InetAddress ip = parseIpAddress(receiver.ip());
        if (ip == null) {
            return SendResult.INVALID_RECEIVER;
        }
        InetSocketAddress socket = new InetSocketAddress(ip, receiver.port());
        byte[] bytes = mCodec.encode(address(), message);
        SendResult result =
                message instanceof PeerMessage.Membership
                        ? sendDatagram(socket, bytes)
                        : sendFrame(socket, bytes);
        if (result != SendResult.ACCEPTED) {
            mTraffic.countDropped(1);
        }
        return result;
    }

    @Override
    public SendResult sendDatagram(Address receiver, PeerMessage message) {
        if (!message.isAllowedAsDatagram()) {
            throw new IllegalArgumentException(
                    "not allowed as a datagram, receivers would reject it: " + message);
        }
        InetAddress ip = parseIpAddress(receiver.ip());
        if (ip == null) {
            return SendResult.INVALID_RECEIVER;
        }
        byte[] bytes = mCodec.encode(address(), message);
        return sendDatagram(new InetSocketAddress(ip, receiver.port()), bytes);
    }

    /** Stops the event loops and closes all channels; blocks for about two seconds at most. */
    @Override
    public void close() {
        mClosed = true;
        mEventLoops
                .shutdownGracefully(
                        SHUTDOWN_QUIET_PERIOD_MILLIS,
                        SHUTDOWN_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS)
                .awaitUninterruptibly();
    }

    private SendResult sendDatagram(InetSocketAddress receiver, byte[] bytes) {
        if (bytes.length > mLimits.datagramBytes()) {
            return SendResult.TOO_LARGE;
        }
        Channel datagrams = mDatagramChannel;
        if (datagrams == null || !datagrams.isOpen()) {
            return SendResult.CLOSED;
        }
        if (!mTotalBudget.tryHold(bytes.length)) {
            return SendResult.QUEUE_FULL;
        }
        datagrams
                .writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), receiver))
                .addListener(
                        written -> {
                            mTotalBudget.release(bytes.length);
                            if (written.isSuccess()) {
                                mTraffic.countSentMessage(bytes.length);
                            } else {
                                mTraffic.countDropped(1);
                            }
                        });
        return SendResult.ACCEPTED;
    }

    private SendResult sendFrame(InetSocketAddress receiver, byte[] bytes) {
        if (bytes.length > mLimits.frameBytes()) {
            return SendResult.TOO_LARGE;
        }
        return mConnections.computeIfAbsent(receiver, this::newConnection).offer(bytes);
    }

    private PeerConnection newConnection(InetSocketAddress receiver) {
        return new PeerConnection(
                receiver,
                mClientBootstrap,
                mEventLoops.next(),
                mLimits,
                mTotalBudget,
                mTraffic,
                connection -> mConnections.remove(receiver, connection));
    }

    /** Binds the TCP port, then the same UDP port; returns why this failed, or null on success. */
    private @Nullable String bind(InetAddress ip, String ipText, int port) {
        ChannelFuture tcpBind = serverBootstrap().bind(ip, port).awaitUninterruptibly();
        if (!tcpBind.isSuccess()) {
            return String.valueOf(tcpBind.cause().getMessage());
        }
        int boundPort = ((InetSocketAddress) tcpBind.channel().localAddress()).getPort();
        ChannelFuture udpBind = datagramBootstrap().bind(ip, boundPort).awaitUninterruptibly();
        if (!udpBind.isSuccess()) {
            return String.valueOf(udpBind.cause().getMessage());
        }
        mDatagramChannel = udpBind.channel();
        mAddress = new Address(ipText, boundPort);
        return null;
    }

    private ServerBootstrap serverBootstrap() {
        return new ServerBootstrap()
                .group(mEventLoops)
                .channel(NioServerSocketChannel.class)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                long idle = mLimits.idleTime().toMillis() * INBOUND_IDLE_FACTOR;
                                channel.pipeline()
                                        .addLast(idleStateHandler(idle))
                                        .addLast(FrameFormat.decoder(mLimits.frameBytes()))
                                        .addLast(new InboundConnectionHandler(mReceiver, mTraffic));
                            }
                        });
    }

    private Bootstrap clientBootstrap() {
        return new Bootstrap()
                .channel(NioSocketChannel.class)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        (int) mLimits.connectTimeout().toMillis())
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline()
                                        .addLast(idleStateHandler(mLimits.idleTime().toMillis()))
                                        .addLast(FrameFormat.encoder())
                                        .addLast(
                                                new OutboundConnectionHandler(mReceiver, mTraffic));
                            }
                        });
    }

    private Bootstrap datagramBootstrap() {
        return new Bootstrap()
                .group(mEventLoops)
                .channel(NioDatagramChannel.class)
                .handler(new DatagramHandler(mReceiver, mTraffic, mLimits.datagramBytes()));
    }

    private static IdleStateHandler idleStateHandler(long millis) {
        return new IdleStateHandler(0, 0, millis, TimeUnit.MILLISECONDS);
    }

    /** Returns null for anything but an address literal, so that no name is resolved by DNS. */
    private static @Nullable InetAddress parseIpAddress(String ip) {
        byte[] bytes = NetUtil.createByteArrayFromIpAddressString(ip);
        if (bytes == null) {
            return null;
        }
        try {
            return InetAddress.getByAddress(bytes);
        } catch (UnknownHostException wrongLength) {
            return null;
        }
    }
}
