package org.oleanderspring.core.residency.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ResidencyFuzz {
    /**
     * Guards against orders for which a runner has no memory, orders outside a tenure and calls
     * whose model is never loaded. The faults are late orders, lost replies and changes of the
     * holder.
     */
    @Property(seed = "20261204", tries = 60)
    void runnersNeverOverflowAndEveryModelIsLoaded(@ForAll long seed) {
        ResidencySimulation world = new ResidencySimulation(seed);
        world.run(600);
        world.runUntilServed();
        assertThat("orders", world.orders(), greaterThan(10));
    }
}
