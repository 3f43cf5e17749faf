package org.oleanderspring.peer.command;

import io.netty.buffer.ByteBuf;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.duty.command.OfferResult;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.ReceivedMessage;
import org.oleanderspring.peer.codec.PeerCodec;
import org.oleanderspring.peer.codec.PeerDecodeResult;

/**
 * Decodes the content of frames and datagrams and offers the messages to a sink. Called on all
 * event-loop threads.
 */
final class MessageReceiver {
    private static final Logger LOGGER = System.getLogger(MessageReceiver.class.getName());

    private final PeerCodec mCodec;
    private final EventSink<ReceivedMessage> mSink;
    private final TrafficCounter mTraffic;

    MessageReceiver(PeerCodec codec, EventSink<ReceivedMessage> sink, TrafficCounter traffic) {
        mCodec = codec;
        mSink = sink;
        mTraffic = traffic;
    }

    /**
     * Handles the content of one frame or datagram.
     *
     * @param content the encoded message
     * @param datagram whether the content was received as a datagram
     * @return whether the content was a valid message that is allowed on this transport, even if
     *     the sink did not accept it
     */
    boolean receive(ByteBuf content, boolean datagram) {
        PeerDecodeResult decoded = mCodec.decode(content.nioBuffer());
        if (decoded instanceof PeerDecodeResult.Malformed malformed) {
            reject(malformed.reason());
            return false;
        }
        ReceivedMessage received = ((PeerDecodeResult.Decoded) decoded).received();
        if (!isAllowed(received.message(), datagram)) {
            reject("the message type is not allowed on this transport");
            return false;
        }
        mTraffic.countReceivedMessage();
        if (mSink.offer(received) != OfferResult.ACCEPTED) {
            mTraffic.countRefused();
        }
        return true;
    }

    private static boolean isAllowed(PeerMessage message, boolean datagram) {
        return datagram
                ? message.isAllowedAsDatagram()
                : !(message instanceof PeerMessage.Membership);
    }

    /** Counts a frame or datagram as malformed and logs the reason. */
    void reject(String reason) {
        mTraffic.countMalformed();
        LOGGER.log(Level.DEBUG, "[peer] Dropped a malformed message: {0}.", reason);
    }
}
