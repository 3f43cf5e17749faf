package org.oleanderspring.peer.command;

import io.netty.buffer.ByteBuf;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.duty.command.OfferResult;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.ReceivedMessage;
import org.oleanderspring.peer.codec.DecodedFrame;
import org.oleanderspring.peer.codec.PeerCodec;

/** Decodes the content of frames and datagrams and passes messages to the daemon's duties. */
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
     * @param content the bytes
     * @param datagram whether the content came as a datagram
     * @return whether the content was an expected message
     */
    boolean receive(ByteBuf content, boolean datagram) {
        DecodedFrame decoded = mCodec.decode(content.nioBuffer());
        if (decoded instanceof DecodedFrame.Malformed malformed) {
            reject(malformed.reason());
            return false;
        }
        ReceivedMessage received = ((DecodedFrame.Understood) decoded).received();
        if (!isExpected(received.message(), datagram)) {
            reject("the message does not belong on this transport");
            return false;
        }
        mTraffic.understood();
        if (mSink.offer(received) != OfferResult.ACCEPTED) {
            mTraffic.refused();
        }
        return true;
    }

    private static boolean isExpected(PeerMessage message, boolean datagram) {
        return datagram ? message.isDatagram() : !(message instanceof PeerMessage.Membership);
    }

    /** Counts content that is not a message. */
    void reject(String reason) {
        mTraffic.malformed();
        LOGGER.log(Level.DEBUG, "[peer] Dropped a malformed message: {0}.", reason);
    }
}
