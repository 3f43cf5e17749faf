package org.oleanderspring.core.routing.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

class NearDomainSelectorTest {
    private static final double PRICE = 2;
    private static final int SECONDS = 120;
    private static final double[] REPORT_DELAYS = {0.1, 0.5, 1, 3};

    /**
     * Load: one domain at 1.5 times its capacity. A third of its calls has to leave, less those
     * that wait at the end. Guards against calls that wait beside free runners.
     */
    @Test
    void callsLeaveAnOverloadedDomainForAllReportDelays() {
        DomainSimulation local = new DomainSimulation(1, 3, 1_000, 0.1);
        local.run(SECONDS, 1.5, 0.4, 0.4);
        for (double delay : REPORT_DELAYS) {
            DomainSimulation simulation = new DomainSimulation(1, 3, PRICE, delay);
            simulation.run(SECONDS, 1.5, 0.4, 0.4);
            assertThat("delay " + delay, simulation.leaving(0), greaterThan(0.3));
            assertThat(
                    "delay " + delay,
                    simulation.waitingSeconds(),
                    lessThan(local.waitingSeconds() / 4));
        }
    }

    /**
     * Load: as above, with reports as late as they come, half a second to a second. Guards against
     * domains with room that send their calls away because of late reports.
     */
    @Test
    void domainsWithRoomKeepTheirCallsBesideAnOverloadedOne() {
        for (double delay : new double[] {0.1, 0.5, 1}) {
            DomainSimulation simulation = new DomainSimulation(1, 3, PRICE, delay);
            simulation.run(SECONDS, 1.5, 0.4, 0.4);
            assertThat("delay " + delay, simulation.leaving(1), lessThan(0.15));
        }
    }

    /** Load: all domains have room. Guards against traffic between domains without a gain. */
    @Test
    void callsStayWhileTheDomainHasRoom() {
        for (double delay : REPORT_DELAYS) {
            DomainSimulation simulation = new DomainSimulation(2, 3, PRICE, delay);
            simulation.run(SECONDS, 0.4, 0.4, 0.4);
            assertThat("delay " + delay, simulation.leaving(0), lessThan(0.15));
        }
    }

    /** Load: all domains full. Nobody gains by leaving. */
    @Test
    void callsStayWhileAllDomainsAreFull() {
        for (double delay : REPORT_DELAYS) {
            DomainSimulation simulation = new DomainSimulation(3, 4, PRICE, delay);
            simulation.run(SECONDS, 1, 1, 1, 1);
            assertThat("delay " + delay, simulation.leaving(0), lessThan(0.3));
        }
    }

    /** Load: a domain whose runners take twice as long. It sends calls away and gets none. */
    @Test
    void callsLeaveADomainWhoseRunnersAreSlow() {
        DomainSimulation simulation = new DomainSimulation(4, 3, PRICE, 0.5);
        simulation.pace(0, 2);
        simulation.run(SECONDS, 0.6, 0.6, 0.6);
        assertThat(simulation.leaving(0), both(greaterThan(0.2)).and(lessThan(1.0)));
        assertThat(simulation.leaving(1), lessThan(0.1));
    }

    /** Guards against a feature that cannot be turned off. */
    @Test
    void priceOfZeroTreatsDomainsAlike() {
        DomainSimulation simulation = new DomainSimulation(5, 3, 0, 0.1);
        simulation.run(SECONDS, 0.4, 0.4, 0.4);
        assertThat(simulation.leaving(0) > 0.5, equalTo(true));
    }
}
