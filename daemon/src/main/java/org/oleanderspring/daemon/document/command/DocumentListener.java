package org.oleanderspring.daemon.document.command;

import java.time.Instant;
import org.oleanderspring.coordination.document.query.DigestSnapshot;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.settings.FleetSettings;

/**
 * Receives changes of documents and of the authority to decide, on the document thread. To decide
 * means to route calls and to place models by the current documents.
 */
public interface DocumentListener {
    /**
     * Called when settings come into force.
     *
     * @param settings the settings
     */
    void settingsChanged(FleetSettings settings);

    /**
     * Called when a plan comes into force.
     *
     * @param plan the plan
     */
    void planChanged(Plan plan);

    /**
     * Called when the time until which this daemon may decide by its documents changes.
     *
     * @param until that time, on this daemon's clock; {@link Instant#MIN} if it may not decide
     */
    void authorityChanged(Instant until);

    /**
     * Called when the digest that membership messages carry changes. The digest contains the
     * versions of the documents and how fresh they are known to be.
     *
     * @param snapshot the new digest
     */
    void digestPublished(DigestSnapshot snapshot);
}
