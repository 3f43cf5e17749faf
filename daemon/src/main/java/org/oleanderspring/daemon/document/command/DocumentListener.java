package org.oleanderspring.daemon.document.command;

import java.time.Instant;
import org.oleanderspring.coordination.document.query.DigestSnapshot;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.settings.FleetSettings;

/** Is told of documents, on the document thread. */
public interface DocumentListener {
    /**
     * Settings came into force.
     *
     * @param settings the settings
     */
    void settingsInForce(FleetSettings settings);

    /**
     * A plan came into force.
     *
     * @param plan the plan
     */
    void planInForce(Plan plan);

    /**
     * The time until which the daemon may decide by its documents changed.
     *
     * @param until the end, on this daemon's clock; {@link Instant#MIN} if it may not decide
     */
    void authorityUntil(Instant until);

    /**
     * The digest for membership messages changed.
     *
     * @param snapshot the digest
     */
    void digestPublished(DigestSnapshot snapshot);
}
