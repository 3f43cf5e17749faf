package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.quarantine.RefusedPattern;
import org.oleanderspring.core.quarantine.query.Quarantine;
import org.oleanderspring.core.routing.RefusalReason;

/** Refuses calls by their prompts, except for one call for each trial of a pattern. */
final class QuarantineGate {
    /** A trial begins half a second after the decision and takes about as long to be answered. */
    static final Duration TRIAL_TIME = Duration.ofSeconds(1);

    private final Set<Integer> mMadeTrials = new HashSet<>();
    private Quarantine mQuarantine = Quarantine.NONE;

    void change(Quarantine quarantine) {
        mQuarantine = quarantine;
        mMadeTrials.retainAll(quarantine.patterns().stream().map(RefusedPattern::trial).toList());
    }

    /** Returns the trial for which a call with a prompt may be let through, or 0. */
    int dueTrial(Prompt prompt) {
        RefusedPattern refused = mQuarantine.find(prompt);
        return refused == null || mMadeTrials.contains(refused.trial()) ? 0 : refused.trial();
    }

    /** Records that a call is let through, so that no other call is. */
    void trialMade(int trial) {
        mMadeTrials.add(trial);
    }

    /** Records that the call that was let through has ended without reaching a runner. */
    void trialNotMade(int trial) {
        mMadeTrials.remove(trial);
    }

    /** Returns why a call with a prompt that is no trial is refused, or null if it is not. */
    @Nullable RefusalReason refusal(Prompt prompt) {
        RefusedPattern refused = mQuarantine.find(prompt);
        if (refused == null) {
            return null;
        }
        return refused.isConfirmed() ? RefusalReason.QUARANTINED : RefusalReason.SUSPECTED;
    }

    /** Returns why a call is refused, or null if it is not. A trial is never refused. */
    @Nullable RefusalReason refusal(CallState call) {
        return call.isTrial() ? null : refusal(call.request().prompt());
    }
}
