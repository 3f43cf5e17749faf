package org.oleanderspring.peer.command;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * Handles the events of a connection that this daemon opened. Such connections carry frames in one
 * direction only: any data from the peer is malformed and closes the connection.
 */
final class OutboundConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final MessageReceiver mReceiver;
    private final TrafficCounter mTraffic;

    OutboundConnectionHandler(MessageReceiver receiver, TrafficCounter traffic) {
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
    protected void channelRead0(ChannelHandlerContext context, ByteBuf content) {
        mTraffic.countReceivedBytes(content.readableBytes());
        mReceiver.reject("a peer sent data on a connection that carries only outbound frames");
        context.close();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable exception) {
        context.close();
    }
}
