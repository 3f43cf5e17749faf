package org.oleanderspring.peer.codec;

import org.oleanderspring.peer.ReceivedMessage;

/** Result of decoding the content of a frame or datagram. */
public sealed interface PeerDecodeResult {
    /**
     * The content is a valid message.
     *
     * @param received the message and its sender
     */
    record Decoded(ReceivedMessage received) implements PeerDecodeResult {}

    /**
     * The content is not a protobuf message, or a field is missing or out of range.
     *
     * @param reason the decoding error, for the log
     */
    record Malformed(String reason) implements PeerDecodeResult {}
}
