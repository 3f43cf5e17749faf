package org.oleanderspring.peer.command;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.oleanderspring.peer.query.PeerTraffic;

/** Counts the traffic; used on all event-loop threads. */
final class TrafficCounter implements PeerTraffic {
    private final LongAdder mBytesIn = new LongAdder();
    private final LongAdder mBytesOut = new LongAdder();
    private final LongAdder mMessagesIn = new LongAdder();
    private final LongAdder mMessagesOut = new LongAdder();
    private final LongAdder mMalformedIn = new LongAdder();
    private final LongAdder mRefusedIn = new LongAdder();
    private final LongAdder mDroppedOut = new LongAdder();
    private final AtomicInteger mOpenConnections = new AtomicInteger();

    void received(int bytes) {
        mBytesIn.add(bytes);
    }

    void understood() {
        mMessagesIn.increment();
    }

    void malformed() {
        mMalformedIn.increment();
    }

    void refused() {
        mRefusedIn.increment();
    }

    void sent(int bytes) {
        mBytesOut.add(bytes);
        mMessagesOut.increment();
    }

    void dropped(int messages) {
        mDroppedOut.add(messages);
    }

    void opened() {
        mOpenConnections.incrementAndGet();
    }

    void closed() {
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
