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
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.peer.PeerLimits;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.ReceivedMessage;
import org.oleanderspring.peer.SendResult;
import org.oleanderspring.peer.codec.PeerCodec;
import org.oleanderspring.peer.query.PeerTraffic;

/**
 * One daemon's end of the traffic between daemons: UDP for membership, TCP for everything else, on
 * the same port.
 *
 * <p>The event-loop threads encode and decode; received messages are offered to a sink, which puts
 * them in the rings of the duties. A message is lost if the ring is full, like one that the network
 * loses; it is counted.
 */
public final class PeerNode implements PeerSender, AutoCloseable {
    private static final long CLOSE_QUIET_MILLIS = 20;
    private static final long CLOSE_LIMIT_MILLIS = 2_000;

    /** The side that opened a connection closes it first, so that no frame crosses the closing. */
    private static final int INBOUND_IDLE_FACTOR = 2;

    private final PeerLimits mLimits;
    private final PeerCodec mCodec = new PeerCodec();
    private final TrafficCounter mTraffic = new TrafficCounter();
    private final SendBudget mBudget;
    private final MessageReceiver mReceiver;
    private final EventLoopGroup mLoops;
    private final Bootstrap mClients;
    private final Map<InetSocketAddress, PeerLink> mLinks = new ConcurrentHashMap<>();
    private volatile boolean mClosed;
    private @Nullable Channel mDatagrams;
    private @Nullable Address mAddress;

    private PeerNode(EventSink<ReceivedMessage> sink, PeerLimits limits) {
        mLimits = limits;
        mBudget = new SendBudget(limits.queuedBytes());
        mReceiver = new MessageReceiver(mCodec, sink, mTraffic);
        mLoops =
                new MultiThreadIoEventLoopGroup(
                        limits.threads(),
                        new DefaultThreadFactory("peer", true),
                        NioIoHandler.newFactory());
        mClients = clients();
    }

    /**
     * Binds the port and begins to receive.
     *
     * @param ip the IP number to bind, which peers send to
     * @param port the port; 0 for any
     * @param sink takes received messages on an event-loop thread; must not block
     * @param limits the limits of the traffic
     */
    public static PeerStart start(
            String ip, int port, EventSink<ReceivedMessage> sink, PeerLimits limits) {
        InetAddress address = parse(ip);
        if (address == null) {
            return new PeerStart.Failed(ip + " is not an IP number");
        }
        PeerNode node = new PeerNode(sink, limits);
        String failure = node.bind(address, ip, port);
        if (failure != null) {
            node.close();
            return new PeerStart.Failed(failure);
        }
        return new PeerStart.Started(node);
    }

    /** Returns the bound address. */
    public Address address() {
        if (mAddress == null) {
            throw new IllegalStateException("the node is not bound");
        }
        return mAddress;
    }

    /** Returns the counts of the traffic. */
    public PeerTraffic traffic() {
        return mTraffic;
    }

    @Override
    public SendResult send(Address receiver, PeerMessage message) {
        if (mClosed) {
            return SendResult.CLOSED;
        }
        InetAddress ip = parse(receiver.ip());
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
            mTraffic.dropped(1);
        }
        return result;
    }

    @Override
    public SendResult sendDatagram(Address receiver, PeerMessage message) {
        if (!message.isDatagram()) {
            throw new IllegalArgumentException("receivers reject this datagram: " + message);
        }
        InetAddress ip = parse(receiver.ip());
        if (ip == null) {
            return SendResult.INVALID_RECEIVER;
        }
        byte[] bytes = mCodec.encode(address(), message);
        return sendDatagram(new InetSocketAddress(ip, receiver.port()), bytes);
    }

    @Override
    public void close() {
        mClosed = true;
        mLoops.shutdownGracefully(CLOSE_QUIET_MILLIS, CLOSE_LIMIT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly();
    }

    private SendResult sendDatagram(InetSocketAddress receiver, byte[] bytes) {
        if (bytes.length > mLimits.datagramBytes()) {
            return SendResult.TOO_LARGE;
        }
        Channel datagrams = mDatagrams;
        if (datagrams == null || !datagrams.isOpen()) {
            return SendResult.CLOSED;
        }
        if (!mBudget.reserve(bytes.length)) {
            return SendResult.QUEUE_FULL;
        }
        datagrams
                .writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), receiver))
                .addListener(
                        written -> {
                            mBudget.release(bytes.length);
                            if (written.isSuccess()) {
                                mTraffic.sent(bytes.length);
                            } else {
                                mTraffic.dropped(1);
                            }
                        });
        return SendResult.ACCEPTED;
    }

    private SendResult sendFrame(InetSocketAddress receiver, byte[] bytes) {
        if (bytes.length > mLimits.frameBytes()) {
            return SendResult.TOO_LARGE;
        }
        return mLinks.computeIfAbsent(receiver, this::newLink).offer(bytes);
    }

    private PeerLink newLink(InetSocketAddress receiver) {
        return new PeerLink(
                receiver,
                mClients,
                mLoops.next(),
                mLimits,
                mBudget,
                mTraffic,
                unused -> mLinks.remove(receiver, unused));
    }

    private @Nullable String bind(InetAddress ip, String name, int port) {
        ChannelFuture frames = servers().bind(ip, port).awaitUninterruptibly();
        if (!frames.isSuccess()) {
            return String.valueOf(frames.cause().getMessage());
        }
        int bound = ((InetSocketAddress) frames.channel().localAddress()).getPort();
        ChannelFuture datagrams = datagrams().bind(ip, bound).awaitUninterruptibly();
        if (!datagrams.isSuccess()) {
            return String.valueOf(datagrams.cause().getMessage());
        }
        mDatagrams = datagrams.channel();
        mAddress = new Address(name, bound);
        return null;
    }

    private ServerBootstrap servers() {
        return new ServerBootstrap()
                .group(mLoops)
                .channel(NioServerSocketChannel.class)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                long idle = mLimits.idleTime().toMillis() * INBOUND_IDLE_FACTOR;
                                channel.pipeline()
                                        .addLast(idleAfter(idle))
                                        .addLast(FrameFormat.decoder(mLimits.frameBytes()))
                                        .addLast(new InboundConnection(mReceiver, mTraffic));
                            }
                        });
    }

    private Bootstrap clients() {
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
                                        .addLast(idleAfter(mLimits.idleTime().toMillis()))
                                        .addLast(FrameFormat.encoder())
                                        .addLast(new OutboundConnection(mReceiver, mTraffic));
                            }
                        });
    }

    private Bootstrap datagrams() {
        return new Bootstrap()
                .group(mLoops)
                .channel(NioDatagramChannel.class)
                .handler(new DatagramReceiver(mReceiver, mTraffic, mLimits.datagramBytes()));
    }

    private static IdleStateHandler idleAfter(long millis) {
        return new IdleStateHandler(0, 0, millis, TimeUnit.MILLISECONDS);
    }

    private static @Nullable InetAddress parse(String ip) {
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
