package org.oleanderspring.peer.command;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;

/** Checks the size of datagrams, which all peers send to one channel, and decodes them. */
final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    private final MessageReceiver mReceiver;
    private final TrafficCounter mTraffic;
    private final int mMaxDatagramBytes;

    DatagramHandler(MessageReceiver receiver, TrafficCounter traffic, int maxDatagramBytes) {
        mReceiver = receiver;
        mTraffic = traffic;
        mMaxDatagramBytes = maxDatagramBytes;
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
        mReceiver.receive(packet.content(), /* datagram= */ true);
    }

    /**
     * Counts the failure as a malformed message and keeps the channel open. The channel serves all
     * peers, and a read can fail merely because an earlier datagram went to an unreachable peer.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable exception) {
        mReceiver.reject(String.valueOf(exception.getMessage()));
    }
}
