package org.oleanderspring.core.directory.query;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.directory.DaemonCapacity;
import org.oleanderspring.core.directory.DaemonListing;
import org.oleanderspring.core.directory.DirectoryCaller;
import org.oleanderspring.core.fleet.FailureDomain;

/**
 * Selects the daemons that a caller is told of.
 *
 * <p>A caller connects to each address of an answer equally often, and drops connections to
 * addresses that a later answer lacks. A daemon with little capacity must therefore be missing from
 * the answers to most callers, and always from those to the same callers. Each pair of a caller and
 * a daemon has a fixed hash from 0 to 1, and the daemon is in the answer if the hash is below its
 * probability. A daemon that stops or starts then changes the answers by itself only, apart from
 * the small change of the average capacity.
 *
 * <p>The probability is the capacity relative to the average one, at most 1, so that answers hold
 * most daemons and a caller has others if some fail. Daemons of other failure domains are told of
 * less often, as long as the caller's own domain has some.
 */
public final class AddressSelection {
    /** The largest number of addresses in an answer. */
    public static final int MAX_ADDRESSES = 64;

    /** Answers hold at least this number of daemons, as far as there are as many. */
    static final int LEAST_ADDRESSES = 8;

    /** With fewer daemons in its domain, a caller gets those of all domains alike. */
    static final int LEAST_NEAR = 4;

    /** The factor on the probability of daemons in other failure domains. */
    private static final double REMOTE_SHARE = 0.25;

    /** Daemons whose capacities differ by less than this factor are treated alike. */
    private static final double ALIKE = 2;

    private AddressSelection() {}

    /**
     * Selects the daemons for a caller. The first ones in the given order, if the daemons are
     * alike.
     *
     * @param daemons all daemons that accept requests
     * @param caller the caller
     */
    public static List<String> select(List<DaemonListing> daemons, DirectoryCaller caller) {
        double cores = average(daemons, true);
        double link = average(daemons, false);
        List<Candidate> candidates = new ArrayList<>();
        double least = Double.POSITIVE_INFINITY;
        double most = 0;
        for (DaemonListing daemon : daemons) {
            double capacity = relativeCapacity(daemon.capacity(), cores, link);
            least = Math.min(least, capacity);
            most = Math.max(most, capacity);
            candidates.add(new Candidate(daemon, capacity));
        }
        if (most <= ALIKE * least) {
            return daemons.stream().map(DaemonListing::address).limit(MAX_ADDRESSES).toList();
        }
        return selectByCapacity(candidates, caller);
    }

    private static List<String> selectByCapacity(
            List<Candidate> candidates, DirectoryCaller caller) {
        FailureDomain own = caller.failureDomain();
        boolean prefersNear =
                own != null
                        && candidates.stream().filter(candidate -> candidate.isIn(own)).count()
                                >= LEAST_NEAR;
        List<Ranked> ranked = new ArrayList<>();
        for (Candidate candidate : candidates) {
            boolean remote = prefersNear && own != null && !candidate.isIn(own);
            double probability = Math.min(1, candidate.capacity()) * (remote ? REMOTE_SHARE : 1);
            String address = candidate.daemon().address();
            ranked.add(new Ranked(address, hash(caller.address(), address) / probability));
        }
        ranked.sort(Comparator.comparingDouble(Ranked::rank).thenComparing(Ranked::address));
        long chosen = ranked.stream().filter(entry -> entry.rank() < 1).count();
        return ranked.stream()
                .limit(Math.min(MAX_ADDRESSES, Math.max(LEAST_ADDRESSES, chosen)))
                .map(Ranked::address)
                .toList();
    }

    private static double average(List<DaemonListing> daemons, boolean ofCores) {
        return daemons.stream()
                .map(DaemonListing::capacity)
                .filter(capacity -> capacity != null)
                .mapToDouble(capacity -> ofCores ? capacity.cores() : capacity.linkMegabits())
                .average()
                .orElse(1);
    }

    /** Returns the scarcer of both parts relative to its average; 1 if the capacity is unknown. */
    private static double relativeCapacity(
            @Nullable DaemonCapacity capacity, double cores, double link) {
        return capacity == null
                ? 1
                : Math.min(capacity.cores() / cores, capacity.linkMegabits() / link);
    }

    /** Returns a number from 0 to 1 that depends on both addresses only. */
    private static double hash(String caller, String daemon) {
        long value = caller.hashCode() * 0x9E3779B97F4A7C15L + daemon.hashCode();
        // The finalizer of SplitMix64, because the hash codes of similar texts are similar.
        value = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        value = (value ^ (value >>> 27)) * 0x94D049BB133111EBL;
        return ((value ^ (value >>> 31)) >>> 11) * 0x1.0p-53;
    }

    private record Candidate(DaemonListing daemon, double capacity) {
        boolean isIn(FailureDomain domain) {
            return domain.equals(daemon.failureDomain());
        }
    }

    /** A daemon; those with a rank below 1 are in the answer. */
    private record Ranked(String address, double rank) {}
}
