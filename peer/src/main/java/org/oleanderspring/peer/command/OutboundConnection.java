package org.oleanderspring.peer.command;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;

/** Watches one connection that this daemon opened; the peer sends nothing on it. */
final class OutboundConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private final MessageReceiver mReceiver;
    private final TrafficCounter mTraffic;

    OutboundConnection(MessageReceiver receiver, TrafficCounter traffic) {
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
    protected void channelRead0(ChannelHandlerContext context, ByteBuf content) {
        mTraffic.received(content.readableBytes());
        mReceiver.reject("a peer replied on a connection of this daemon");
        context.close();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable fault) {
        context.close();
    }
}
