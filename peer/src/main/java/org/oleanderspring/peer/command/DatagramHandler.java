package org.oleanderspring.peer.command;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;

/** Handles the datagrams received from all peers. */
final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    private final MessageReceiver mReceiver;
    private final TrafficCounter mTraffic;
    private final int mMaxDatagramBytes;

    DatagramHandler(MessageReceiver receiver, TrafficCounter traffic, int datagramBytes) {
        mReceiver = receiver;
        mTraffic = traffic;
        mMaxDatagramBytes = datagramBytes;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
        int bytes = packet.content().readableBytes();
        mTraffic.countReceivedBytes(bytes);
        if (bytes > mMaxDatagramBytes) {
            mReceiver.reject(
                    "a datagram has " + bytes + " bytes; the maximum is " + mMaxDatagramBytes);
            return;
        }
        mReceiver.receive(packet.content(), true);
    }

    /**
     * Keeps the channel open. It serves all peers, and a read can fail merely because an earlier
     * datagram went to an unreachable peer.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable exception) {
        mReceiver.reject(String.valueOf(exception.getMessage()));
    }
}
