package org.oleanderspring.peer.command;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;

/** Receives the datagrams of all peers. */
final class DatagramReceiver extends SimpleChannelInboundHandler<DatagramPacket> {
    private final MessageReceiver mReceiver;
    private final TrafficCounter mTraffic;
    private final int mDatagramBytes;

    DatagramReceiver(MessageReceiver receiver, TrafficCounter traffic, int datagramBytes) {
        mReceiver = receiver;
        mTraffic = traffic;
        mDatagramBytes = datagramBytes;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
        int bytes = packet.content().readableBytes();
        mTraffic.received(bytes);
        if (bytes > mDatagramBytes) {
            mReceiver.reject("a datagram of " + bytes + " bytes is too large");
            return;
        }
        mReceiver.receive(packet.content(), true);
    }

    /** The channel stays open: an unreachable peer can make the next read fail. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable fault) {
        mReceiver.reject(String.valueOf(fault.getMessage()));
    }
}
