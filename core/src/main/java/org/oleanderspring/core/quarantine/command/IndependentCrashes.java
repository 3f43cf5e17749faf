package org.oleanderspring.core.quarantine.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Counts the crashes that are separate evidence about a part of prompts.
 *
 * <p>Runners that end because of one cause outside of the prompts, such as a power failure, a bad
 * release or a lost link, end while calls that began before are open at all of them. Such a crash
 * says as much about a part as the crash of one runner. A deadly part, however, crashes one runner
 * after the other: the call is sent to the next runner when it has lost the one before, or another
 * call arrives later. So two crashes are separate evidence if a call with the part was sent to the
 * second runner after the first one had ended, and the count is the largest number of crashes of
 * which each pair is separate.
 *
 * <p>Deadly calls that run at several runners at the same time are undercounted. That costs at most
 * the runners at which they already are, as the next call with the part is separate again.
 */
final class IndependentCrashes {
    /**
     * A call cannot have crashed a runner within this time, in which it is sent, queued and read.
     * The connections to runners with a common end do not break at exactly the same moment, and
     * calls are sent from one to the next meanwhile.
     */
    static final Duration MIN_EXPOSURE = Duration.ofMillis(20);

    private IndependentCrashes() {}

    /**
     * The crash of a runner under calls with a part.
     *
     * @param exposedAt when the last of these calls was sent to the runner that may have crashed it
     * @param endedAt when the runner ended
     */
    record Exposure(Instant exposedAt, Instant endedAt) {}

    /** Returns the largest number of separate crashes, found by taking those that end first. */
    static int count(Collection<Exposure> exposures) {
        List<Exposure> byEnd =
                exposures.stream().sorted(Comparator.comparing(Exposure::endedAt)).toList();
        int separate = 0;
        Instant lastEnd = Instant.MIN;
        for (Exposure exposure : byEnd) {
            if (!exposure.exposedAt().isBefore(lastEnd)) {
                separate++;
                lastEnd = exposure.endedAt();
            }
        }
        return separate;
    }
}
