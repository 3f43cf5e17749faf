package org.oleanderspring.core.directory.query;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.oleanderspring.core.directory.DaemonCapacity;
import org.oleanderspring.core.directory.DaemonListing;
import org.oleanderspring.core.directory.DirectoryCaller;
import org.oleanderspring.core.fleet.FailureDomain;

class AddressSelectionTest {
    private static final int CALLERS = 400;

    private static final double[] CORES = {0.27, 0.5, 0.9, 1.2, 1.5};

    private static DaemonListing daemon(int number, String domain, double cores) {
        return new DaemonListing(
                "10.0.0." + number + ":80",
                new FailureDomain(domain),
                new DaemonCapacity(cores, 100));
    }

    /** Returns 60 daemons of 0.27 to 1.5 cores in three domains. */
    private static List<DaemonListing> unevenDaemons() {
        List<DaemonListing> daemons = new ArrayList<>();
        for (int number = 0; number < 60; number++) {
            daemons.add(daemon(number, "d" + number % 3, CORES[number / 3 % CORES.length]));
        }
        return daemons;
    }

    private static DirectoryCaller caller(int number, @Nullable String domain) {
        return new DirectoryCaller(
                "192.0.2." + number, domain == null ? null : new FailureDomain(domain));
    }

    /** Returns the part of all connections that each daemon gets from callers of all domains. */
    private static Map<String, Double> shares(List<DaemonListing> daemons) {
        Map<String, Double> shares = new HashMap<>();
        for (int number = 0; number < CALLERS; number++) {
            List<String> answer =
                    AddressSelection.select(daemons, caller(number, "d" + number % 3));
            for (String address : answer) {
                shares.merge(address, 1.0 / CALLERS / answer.size(), Double::sum);
            }
        }
        return shares;
    }

    /** Load: 60 uneven daemons. Guards against a small VM with the share of a large one. */
    @Test
    void smallDaemonGetsLessThanLargeOne() {
        List<DaemonListing> daemons = unevenDaemons();
        Map<String, Double> shares = shares(daemons);
        double small = 0;
        double large = 0;
        for (int number = 0; number < 60; number++) {
            double share = shares.getOrDefault(daemons.get(number).address(), 0.0);
            int kind = number / 3 % CORES.length;
            small += kind == 0 ? share : 0;
            large += kind == CORES.length - 1 ? share : 0;
        }
        assertThat(small / large, lessThan(0.4));
        assertThat(small, greaterThan(0.0));
    }

    /** Load: a third of the daemons restarts. The answers lose these and hardly change else. */
    @Test
    void remainingDaemonsStayInTheAnswerWhileAThirdRestarts() {
        List<DaemonListing> daemons = unevenDaemons();
        List<DaemonListing> remaining = daemons.subList(20, 60);
        int dropped = 0;
        int kept = 0;
        for (int number = 0; number < CALLERS; number++) {
            DirectoryCaller caller = caller(number, "d" + number % 3);
            Set<String> before = new HashSet<>(AddressSelection.select(daemons, caller));
            Set<String> after = new HashSet<>(AddressSelection.select(remaining, caller));
            assertThat(after.size(), greaterThanOrEqualTo(AddressSelection.LEAST_ADDRESSES));
            for (DaemonListing daemon : remaining) {
                if (before.contains(daemon.address())) {
                    kept += after.contains(daemon.address()) ? 1 : 0;
                    dropped += after.contains(daemon.address()) ? 0 : 1;
                }
            }
        }
        assertThat((double) dropped / (dropped + kept), lessThan(0.05));
    }

    /** Load: a domain without daemons. Its callers get those of the others. */
    @Test
    void callersOfADomainWithoutDaemonsGetThoseOfOthers() {
        List<String> answer = AddressSelection.select(unevenDaemons(), caller(1, "d9"));
        assertThat(answer.size(), greaterThan(20));
    }

    /** Guards against traffic between failure domains that a nearer daemon could take. */
    @Test
    void mostAddressesAreInTheDomainOfTheCaller() {
        List<DaemonListing> daemons = unevenDaemons();
        int near = 0;
        int all = 0;
        for (int number = 0; number < CALLERS; number++) {
            Set<String> answer =
                    new HashSet<>(AddressSelection.select(daemons, caller(number, "d0")));
            all += answer.size();
            for (int index = 0; index < daemons.size(); index += 3) {
                near += answer.contains(daemons.get(index).address()) ? 1 : 0;
            }
        }
        assertThat((double) near / all, greaterThan(0.6));
    }

    /** Guards against a change for deployments whose daemons are alike or say nothing. */
    @Test
    void alikeDaemonsAreAllGivenInTheirOrder() {
        List<DaemonListing> daemons = new ArrayList<>();
        List<String> addresses = new ArrayList<>();
        for (int number = 0; number < 30; number++) {
            daemons.add(
                    number % 4 == 0
                            ? new DaemonListing("10.0.0." + number + ":80", null, null)
                            : daemon(number, "d" + number % 3, 1 + number % 2 * 0.5));
            addresses.add("10.0.0." + number + ":80");
        }
        assertThat(AddressSelection.select(daemons, caller(1, "d0")), equalTo(addresses));
    }

    /** Guards against an answer with a single address, or with more than callers read. */
    @Test
    void answersHaveSeveralAddressesAndNotTooMany() {
        List<DaemonListing> daemons = new ArrayList<>();
        for (int number = 0; number < 200; number++) {
            daemons.add(daemon(number, "d0", number == 0 ? 0.1 : 1.5));
        }
        assertThat(
                AddressSelection.select(daemons, caller(1, null)).size(),
                equalTo(AddressSelection.MAX_ADDRESSES));
        assertThat(
                AddressSelection.select(daemons.subList(0, 3), caller(1, null)).size(), equalTo(3));
    }
}
