package org.oleanderspring.core.residency.command;

import java.time.Instant;
import org.oleanderspring.coordination.lease.FencingToken;

/** The right of this daemon to give orders, and the numbers that it gives out meanwhile. */
final class Tenure {
    private FencingToken mToken = FencingToken.NONE;
    private Instant mOrdersFrom = Instant.MAX;
    private long mNextOrder = 1;
    private long mNextStatement = 1;

    void begin(FencingToken token, Instant ordersFrom) {
        mToken = token;
        mOrdersFrom = ordersFrom;
    }

    void end() {
        mOrdersFrom = Instant.MAX;
    }

    boolean mayOrder(Instant now) {
        return !now.isBefore(mOrdersFrom);
    }

    FencingToken token() {
        return mToken;
    }

    long nextOrder() {
        return mNextOrder++;
    }

    long nextStatement() {
        return mNextStatement++;
    }
}
