package org.oleanderspring.peer.command;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.timeout.IdleStateEvent;

/** Receives the frames of one connection that a peer opened; closes it at the first bad frame. */
final class InboundConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private final MessageReceiver mReceiver;
    private final TrafficCounter mTraffic;
    private boolean mRejected;

    InboundConnection(MessageReceiver receiver, TrafficCounter traffic) {
        mReceiver = receiver;
        mTraffic = traffic;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mTraffic.opened();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mTraffic.closed();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        if (mRejected) {
            return;
        }
        mTraffic.received(frame.readableBytes() + FrameFormat.LENGTH_BYTES);
        if (!mReceiver.receive(frame, false)) {
            mRejected = true;
            context.close();
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable fault) {
        if (fault instanceof DecoderException && !mRejected) {
            mRejected = true;
            mReceiver.reject(String.valueOf(fault.getMessage()));
        }
        context.close();
    }
}
