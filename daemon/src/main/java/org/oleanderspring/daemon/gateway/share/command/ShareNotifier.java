package org.oleanderspring.daemon.gateway.share.command;

import java.time.Instant;
import org.oleanderspring.core.share.RateKey;
import org.oleanderspring.core.share.ShareGrant;
import org.oleanderspring.daemon.gateway.GatewayMember;

/** Sends the messages of an issuer of shared rates. A message may be lost. */
public interface ShareNotifier {
    /**
     * Sends a part of a rate.
     *
     * @param member the daemon that asked
     * @param grant the part
     */
    void sendShare(GatewayMember member, ShareGrant grant);

    /**
     * Asks the second issuer of a rate to issue nothing for a time.
     *
     * @param member the second issuer
     * @param key the rate
     * @param askedAt the current time of this daemon
     */
    void requestConfirmation(GatewayMember member, RateKey key, Instant askedAt);

    /**
     * Confirms that this daemon issues nothing for a time.
     *
     * @param member the first issuer
     * @param key the rate
     * @param askedAt the time in the request
     */
    void confirm(GatewayMember member, RateKey key, Instant askedAt);
}
