package org.oleanderspring.peer.codec;

import org.oleanderspring.peer.ReceivedMessage;

/** What the bytes of a frame or datagram mean. */
public sealed interface DecodedFrame {
    /**
     * A message.
     *
     * @param received the message with its sender
     */
    record Understood(ReceivedMessage received) implements DecodedFrame {}

    /**
     * No message, or one that no daemon sends.
     *
     * @param reason why, for the log
     */
    record Malformed(String reason) implements DecodedFrame {}
}
