package org.oleanderspring.core.residency.command;

import java.time.Instant;
import java.util.List;

/** Turns events into orders to runners; owns what one daemon knows of the runners' models. */
public interface ResidencyDecider {
    /**
     * Handles one event.
     *
     * @param event what happened
     * @param now the current time; never goes back
     * @return what to do, in order
     */
    List<ResidencyDecision> decide(ResidencyEvent event, Instant now);
}
