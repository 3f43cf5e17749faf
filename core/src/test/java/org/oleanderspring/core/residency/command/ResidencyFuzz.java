package org.oleanderspring.core.residency.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ResidencyFuzz {
    /**
     * Guards against orders for which a runner has no memory, orders outside a tenure and calls
     * whose model is never loaded. The faults are late orders, lost replies and changes of the
     * holder. A run with few orders would not exercise these rules, so it fails too.
     */
    @Property(seed = "20261204", tries = 60)
    void runnersNeverOverflowAndEveryModelIsLoaded(@ForAll long seed) {
        ResidencySimulation simulation = new ResidencySimulation(seed);
        simulation.run(600);
        simulation.runUntilServed();
        assertThat("number of sent orders", simulation.sentOrders(), greaterThan(10));
    }
}
