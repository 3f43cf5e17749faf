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
import org.oleanderspring.duty.command.ByteBudget;
import org.oleanderspring.peer.PeerLimits;
import org.oleanderspring.peer.SendResult;

/**
 * Sends frames to one peer over a TCP connection, which is opened for the first frame and reopened
 * for the next frame after it was closed.
 *
 * <p>Frames may be offered on any thread; all other work runs on one event loop. When there is
 * neither an open channel nor a pending frame, the listener is called to discard this object. A
 * frame that is offered at that moment is still sent by the discarded object, so two connections to
 * the peer can exist until the older one has been idle for {@link PeerLimits#idleTime}.
 */
final class PeerConnection {
    private final InetSocketAddress mReceiver;
    private final Bootstrap mBootstrap;
    private final EventLoop mEventLoop;
    private final TrafficCounter mTraffic;
    private final ByteBudget mReceiverBudget;
    private final ByteBudget mTotalBudget;
    private final Consumer<PeerConnection> mUnusedListener;
    private final Deque<byte[]> mAwaitingConnection = new ArrayDeque<>();
    private @Nullable Channel mChannel;
    private boolean mConnecting;
    private int mPendingFrameCount;

    PeerConnection(
            InetSocketAddress receiver,
            Bootstrap bootstrap,
            EventLoop loop,
            PeerLimits limits,
            ByteBudget totalBudget,
            TrafficCounter traffic,
            Consumer<PeerConnection> unusedListener) {
        mReceiver = receiver;
        mBootstrap = bootstrap.clone(loop);
        mEventLoop = loop;
        mTraffic = traffic;
        mReceiverBudget = new ByteBudget(limits.queuedBytesPerPeer());
        mTotalBudget = totalBudget;
        mUnusedListener = unusedListener;
    }

    /** Queues a frame without blocking. May be called on any thread. */
    SendResult offer(byte[] frame) {
        if (!mReceiverBudget.tryHold(frame.length)) {
            return SendResult.QUEUE_FULL;
        }
        if (!mTotalBudget.tryHold(frame.length)) {
            mReceiverBudget.release(frame.length);
            return SendResult.QUEUE_FULL;
        }
        try {
            mEventLoop.execute(() -> enqueue(frame));
        } catch (RejectedExecutionException loopStopped) {
            releaseBudget(frame);
            return SendResult.CLOSED;
        }
        return SendResult.ACCEPTED;
    }

    private void enqueue(byte[] frame) {
        mPendingFrameCount++;
        if (mChannel != null) {
            write(mChannel, frame);
            return;
        }
        mAwaitingConnection.add(frame);
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
            mTraffic.countDropped(mAwaitingConnection.size());
            mAwaitingConnection.forEach(this::completeFrame);
            mAwaitingConnection.clear();
            reportIfUnused();
            return;
        }
        Channel channel = connected.channel();
        mChannel = channel;
        channel.closeFuture().addListener(closed -> onClosed());
        while (!mAwaitingConnection.isEmpty()) {
            write(channel, mAwaitingConnection.remove());
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
                            completeFrame(frame);
                            if (written.isSuccess()) {
                                mTraffic.countSentMessage(frame.length + FrameFormat.LENGTH_BYTES);
                            } else {
                                mTraffic.countDropped(1);
                                reportIfUnused();
                            }
                        });
    }

    private void completeFrame(byte[] frame) {
        mPendingFrameCount--;
        releaseBudget(frame);
    }

    private void releaseBudget(byte[] frame) {
        mReceiverBudget.release(frame.length);
        mTotalBudget.release(frame.length);
    }

    private void reportIfUnused() {
        if (mPendingFrameCount == 0 && mChannel == null && !mConnecting) {
            mUnusedListener.accept(this);
        }
    }
}
