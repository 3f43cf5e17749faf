package org.oleanderspring.peer.command;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.oleanderspring.peer.query.PeerTraffic;

/** Traffic counters; updated by all event-loop threads and by the threads that send. */
final class TrafficCounter implements PeerTraffic {
    private final LongAdder mBytesIn = new LongAdder();
    private final LongAdder mBytesOut = new LongAdder();
    private final LongAdder mMessagesIn = new LongAdder();
    private final LongAdder mMessagesOut = new LongAdder();
    private final LongAdder mMalformedIn = new LongAdder();
    private final LongAdder mRefusedIn = new LongAdder();
    private final LongAdder mDroppedOut = new LongAdder();
    private final AtomicInteger mOpenConnections = new AtomicInteger();

    void countReceivedBytes(int bytes) {
        mBytesIn.add(bytes);
    }

    void countReceivedMessage() {
        mMessagesIn.increment();
    }

    void countMalformed() {
        mMalformedIn.increment();
    }

    void countRefused() {
        mRefusedIn.increment();
    }

    void countSentMessage(int bytes) {
        mBytesOut.add(bytes);
        mMessagesOut.increment();
    }

    void countDropped(int messages) {
        mDroppedOut.add(messages);
    }

    void countOpenedConnection() {
        mOpenConnections.incrementAndGet();
    }

    void countClosedConnection() {
        mOpenConnections.decrementAndGet();
    }

    @Override
    public long bytesIn() {
        return mBytesIn.sum();
    }

    @Override
    public long bytesOut() {
        return mBytesOut.sum();
    }

    @Override
    public long messagesIn() {
        return mMessagesIn.sum();
    }

    @Override
    public long messagesOut() {
        return mMessagesOut.sum();
    }

    @Override
    public long malformedIn() {
        return mMalformedIn.sum();
    }

    @Override
    public long refusedIn() {
        return mRefusedIn.sum();
    }

    @Override
    public long droppedOut() {
        return mDroppedOut.sum();
    }

    @Override
    public int openConnections() {
        return mOpenConnections.get();
    }
}
