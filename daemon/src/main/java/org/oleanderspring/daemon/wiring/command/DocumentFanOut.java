package org.oleanderspring.daemon.wiring.command;

import java.time.Duration;
import java.time.Instant;
import org.oleanderspring.coordination.document.query.DigestSnapshot;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.settings.FleetSettings;
import org.oleanderspring.core.settings.SettingName;
import org.oleanderspring.daemon.dispatch.command.DispatchInput;
import org.oleanderspring.daemon.document.command.DocumentListener;
import org.oleanderspring.daemon.membership.command.MembershipInput;
import org.oleanderspring.daemon.placement.command.PlacementInput;
import org.oleanderspring.daemon.routing.command.RoutingInput;

/**
 * Forwards the current documents and the authority to decide to the rings of other duties. Called
 * on the document thread.
 */
public final class DocumentFanOut implements DocumentListener {
    private final Rings mRings;

    /**
     * Creates a listener that never blocks; an offer to a full ring is retried later.
     *
     * @param rings the rings of the duties
     */
    public DocumentFanOut(Rings rings) {
        mRings = rings;
    }

    @Override
    public void settingsChanged(FleetSettings settings) {
        mRings.routing().offer(new RoutingInput.SettingsChanged(settings));
        mRings.placement().offer(new PlacementInput.SettingsChanged(settings));
        mRings.dispatch().offer(new DispatchInput.SettingsChanged(settings));
        Duration timeToLive = Duration.ofSeconds(settings.value(SettingName.DIRECTORY_KEEP));
        mRings.membership().offer(new MembershipInput.DirectoryTimeToLiveChanged(timeToLive));
    }

    @Override
    public void planChanged(Plan plan) {
        mRings.routing().offer(new RoutingInput.PlanChanged(plan));
        mRings.placement().offer(new PlacementInput.PlanChanged(plan));
    }

    @Override
    public void authorityChanged(Instant until) {
        mRings.routing().offer(new RoutingInput.AuthorityChanged(until));
        mRings.placement().offer(new PlacementInput.AuthorityChanged(until));
    }

    @Override
    public void digestPublished(DigestSnapshot snapshot) {
        mRings.membership().offer(new MembershipInput.DigestPublished(snapshot));
    }
}
