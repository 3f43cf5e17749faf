package org.oleanderspring.peer.command;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.peer.PeerLimits;
import org.oleanderspring.peer.SendResult;

/**
 * The connection to one peer, opened with the first frame and again after it was closed.
 *
 * <p>Frames are offered on any thread; everything else happens on one event loop. A link that has
 * no connection and no frames is dropped by its node. A frame that is offered at that moment is
 * still sent by the dropped link, so there can be two connections for one idle time.
 */
final class PeerLink {
    private final InetSocketAddress mReceiver;
    private final Bootstrap mBootstrap;
    private final EventLoop mLoop;
    private final TrafficCounter mTraffic;
    private final SendBudget mOwnBudget;
    private final SendBudget mTotalBudget;
    private final Consumer<PeerLink> mUnusedListener;
    private final Deque<byte[]> mWaiting = new ArrayDeque<>();
    private @Nullable Channel mChannel;
    private boolean mConnecting;
    private int mUnwritten;

    PeerLink(
            InetSocketAddress receiver,
            Bootstrap bootstrap,
            EventLoop loop,
            PeerLimits limits,
            SendBudget totalBudget,
            TrafficCounter traffic,
            Consumer<PeerLink> unusedListener) {
        mReceiver = receiver;
        mBootstrap = bootstrap.clone(loop);
        mLoop = loop;
        mTraffic = traffic;
        mOwnBudget = new SendBudget(limits.queuedBytesPerPeer());
        mTotalBudget = totalBudget;
        mUnusedListener = unusedListener;
    }

    /** Queues a frame. */
    SendResult offer(byte[] frame) {
        if (!mOwnBudget.reserve(frame.length)) {
            return SendResult.QUEUE_FULL;
        }
        if (!mTotalBudget.reserve(frame.length)) {
            mOwnBudget.release(frame.length);
            return SendResult.QUEUE_FULL;
        }
        try {
            mLoop.execute(() -> enqueue(frame));
        } catch (RejectedExecutionException stopped) {
            release(frame);
            return SendResult.CLOSED;
        }
        return SendResult.ACCEPTED;
    }

    private void enqueue(byte[] frame) {
        mUnwritten++;
        if (mChannel != null) {
            write(mChannel, frame);
            return;
        }
        mWaiting.add(frame);
        if (!mConnecting) {
            mConnecting = true;
            mBootstrap
                    .connect(mReceiver)
                    .addListener((ChannelFuture connected) -> onConnected(connected));
        }
    }

    private void onConnected(ChannelFuture connected) {
        mConnecting = false;
        if (!connected.isSuccess()) {
            mTraffic.dropped(mWaiting.size());
            mWaiting.forEach(this::finish);
            mWaiting.clear();
            reportIfUnused();
            return;
        }
        Channel channel = connected.channel();
        mChannel = channel;
        channel.closeFuture().addListener(closed -> onClosed());
        while (!mWaiting.isEmpty()) {
            write(channel, mWaiting.remove());
        }
    }

    private void onClosed() {
        mChannel = null;
        reportIfUnused();
    }

    private void write(Channel channel, byte[] frame) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame))
                .addListener(
                        written -> {
                            finish(frame);
                            if (written.isSuccess()) {
                                mTraffic.sent(frame.length + FrameFormat.LENGTH_BYTES);
                            } else {
                                mTraffic.dropped(1);
                                reportIfUnused();
                            }
                        });
    }

    private void finish(byte[] frame) {
        mUnwritten--;
        release(frame);
    }

    private void release(byte[] frame) {
        mOwnBudget.release(frame.length);
        mTotalBudget.release(frame.length);
    }

    private void reportIfUnused() {
        if (mUnwritten == 0 && mChannel == null && !mConnecting) {
            mUnusedListener.accept(this);
        }
    }
}
