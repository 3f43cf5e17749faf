package org.oleanderspring.peer.command;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * Handles the frames of a connection that a peer opened, and closes the connection at the first
 * malformed frame.
 */
final class InboundConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final MessageReceiver mReceiver;
    private final TrafficCounter mTraffic;

    /**
     * Set by the first malformed frame; frames that were read together with it are then ignored.
     */
    private boolean mFrameRejected;

    InboundConnectionHandler(MessageReceiver receiver, TrafficCounter traffic) {
        mReceiver = receiver;
        mTraffic = traffic;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mTraffic.countOpenedConnection();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mTraffic.countClosedConnection();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        if (mFrameRejected) {
            return;
        }
        mTraffic.countReceivedBytes(frame.readableBytes() + FrameFormat.LENGTH_BYTES);
        if (!mReceiver.receive(frame, false)) {
            mFrameRejected = true;
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
    public void exceptionCaught(ChannelHandlerContext context, Throwable exception) {
        if (exception instanceof DecoderException && !mFrameRejected) {
            mFrameRejected = true;
            mReceiver.reject(String.valueOf(exception.getMessage()));
        }
        context.close();
    }
}
