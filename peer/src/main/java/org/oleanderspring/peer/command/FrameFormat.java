package org.oleanderspring.peer.command;

import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/** Frame format of TCP connections: a 4-byte big-endian length, followed by the message. */
final class FrameFormat {
    static final int LENGTH_BYTES = 4;

    private FrameFormat() {}

    static ChannelHandler decoder(int frameBytes) {
        return new LengthFieldBasedFrameDecoder(
                frameBytes + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }

    static ChannelHandler encoder() {
        return new LengthFieldPrepender(LENGTH_BYTES);
    }
}
