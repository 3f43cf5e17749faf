package org.oleanderspring.core.share.query;

import java.util.Collection;
import java.util.List;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.query.RendezvousRanking;
import org.oleanderspring.core.share.IssuerRole;
import org.oleanderspring.core.share.RateKey;

/**
 * Ranks the daemons as issuers of a shared rate. All daemons that know the same members agree, and
 * the rates are spread over the daemons.
 */
public final class IssuerRanking {
    private IssuerRanking() {}

    /**
     * Returns the first and the second issuer, as far as there are members.
     *
     * @param key the rate
     * @param members the daemons
     * @param identity maps a daemon to its identity
     * @param <T> the type of daemon
     */
    public static <T> List<T> issuers(
            RateKey key, Collection<T> members, Function<T, String> identity) {
        return RendezvousRanking.top("rate/" + key.value(), members, identity, 2);
    }

    /**
     * Returns the role of a daemon, or null if it does not issue the rate.
     *
     * @param self the daemon
     * @param issuers the first and the second issuer
     * @param <T> the type of daemon
     */
    public static <T> @Nullable IssuerRole roleOf(T self, List<T> issuers) {
        int rank = issuers.indexOf(self);
        if (rank < 0) {
            return null;
        }
        if (issuers.size() == 1) {
            return IssuerRole.ONLY;
        }
        return rank == 0 ? IssuerRole.FIRST : IssuerRole.SECOND;
    }
}
