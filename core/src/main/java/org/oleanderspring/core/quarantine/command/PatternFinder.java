package org.oleanderspring.core.quarantine.command;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.SuspectCall;

/**
 * Finds the patterns of prompt parts that explain why runners crash.
 *
 * <p>A crash has several suspects: the calls that the runner was beginning to answer, each with
 * several parts. One of these parts may be deadly, that is, crash every runner that answers it. A
 * deadly part is never answered, and so a part that was answered lately is not considered. The last
 * part of a prompt is never considered on its own. Of the others, a part is reported if {@link
 * #CRASHES_REQUIRED} runners crashed under calls with it, and no other part explains these crashes
 * better.
 *
 * <p>The comparison with other parts is needed because calls move together: the calls of a crashed
 * runner are repeated at the next one beside the deadly call, so that a rare sound part is found at
 * several crashes in a row. A part is explained by another one in two cases:
 *
 * <ul>
 *   <li>The calls with the other part are some of the calls with this part, and the rest of its
 *       crashes are too few. This protects a part that sound and deadly calls share, such as a
 *       system prompt, in the time in which no runner answers.
 *   <li>The two parts are in different calls, and the other part is at all crashes of this one and
 *       at further crashes.
 * </ul>
 *
 * <p>If two parts in different calls are at the same crashes, neither is reported until {@link
 * #CRASHES_IF_AMBIGUOUS} runners have crashed, because the next crash usually tells them apart.
 *
 * <p>The reported pattern contains all parts that always accompany the found part at the crashes,
 * except answered ones. A caller that adds the parts of others to deadly prompts therefore cannot
 * cause the calls of others to be refused.
 */
final class PatternFinder {
    /**
     * Number of crashes that make a part suspicious. The repeats of one call can account for two or
     * three crashes, so a fourth one usually comes from another call.
     */
    static final int CRASHES_REQUIRED = 4;

    /** Number of crashes after which parts are reported although several explain the crashes. */
    static final int CRASHES_IF_AMBIGUOUS = 7;

    private final Map<PromptPart, Suspicion> mSuspicions = new HashMap<>();
    private final Predicate<PromptPart> mIsSound;

    private PatternFinder(Collection<CrashLog.Crash> crashes, Predicate<PromptPart> isSound) {
        mIsSound = isSound;
        for (CrashLog.Crash crash : crashes) {
            for (SuspectCall call : crash.calls()) {
                Occurrence occurrence = new Occurrence(crash.runner(), call);
                for (PromptPart part : call.prompt().sharedParts()) {
                    if (!isSound.test(part)) {
                        mSuspicions.computeIfAbsent(part, key -> new Suspicion()).add(occurrence);
                    }
                }
            }
        }
    }

    /**
     * Returns the patterns that explain the crashes.
     *
     * @param crashes the crashes
     * @param isSound whether a part was answered lately
     */
    static List<Finding> find(Collection<CrashLog.Crash> crashes, Predicate<PromptPart> isSound) {
        return new PatternFinder(crashes, isSound).find();
    }

    /**
     * A pattern that explains crashes.
     *
     * @param pattern the pattern
     * @param runners the crashed runners
     * @param requests the requests with the pattern at these runners
     */
    record Finding(PromptPattern pattern, List<EndpointId> runners, List<String> requests) {}

    private record Occurrence(EndpointId runner, SuspectCall call) {}

    /** The calls with one part, and the runners that crashed under them. */
    private static final class Suspicion {
        private final Set<EndpointId> mRunners = new LinkedHashSet<>();
        private final Set<Occurrence> mOccurrences = new LinkedHashSet<>();

        void add(Occurrence occurrence) {
            mRunners.add(occurrence.runner());
            mOccurrences.add(occurrence);
        }
    }

    private List<Finding> find() {
        // Parts that always occur together lead to the same pattern, so one of them is enough.
        Map<Set<Occurrence>, Suspicion> distinct = new HashMap<>();
        for (Suspicion suspicion : mSuspicions.values()) {
            if (suspicion.mRunners.size() >= CRASHES_REQUIRED) {
                distinct.put(suspicion.mOccurrences, suspicion);
            }
        }
        List<Suspicion> candidates = List.copyOf(distinct.values());
        Map<PromptPattern, Finding> findings = new HashMap<>();
        for (Suspicion candidate : candidates) {
            if (!isExplained(candidate, candidates)) {
                Finding finding = finding(candidate);
                findings.put(finding.pattern(), finding);
            }
        }
        return List.copyOf(findings.values());
    }

    private boolean isExplained(Suspicion candidate, List<Suspicion> others) {
        for (Suspicion other : others) {
            if (other != candidate && explains(other, candidate)) {
                return true;
            }
        }
        return false;
    }

    private static boolean explains(Suspicion other, Suspicion candidate) {
        if (candidate.mOccurrences.containsAll(other.mOccurrences)) {
            boolean isMoreSpecific = other.mOccurrences.size() < candidate.mOccurrences.size();
            return isMoreSpecific && unexplained(candidate, other) < CRASHES_REQUIRED;
        }
        if (other.mOccurrences.containsAll(candidate.mOccurrences)) {
            return false;
        }
        if (unexplained(candidate, other) > 0) {
            return false;
        }
        return other.mRunners.size() > candidate.mRunners.size()
                || candidate.mRunners.size() < CRASHES_IF_AMBIGUOUS;
    }

    private static int unexplained(Suspicion candidate, Suspicion other) {
        Set<EndpointId> rest = new HashSet<>(candidate.mRunners);
        rest.removeAll(other.mRunners);
        return rest.size();
    }

    private Finding finding(Suspicion suspicion) {
        List<PromptPart> common = null;
        Set<String> requests = new LinkedHashSet<>();
        for (Occurrence occurrence : suspicion.mOccurrences) {
            List<PromptPart> parts = occurrence.call().prompt().parts();
            if (common == null) {
                common = new ArrayList<>(parts);
            } else {
                common.retainAll(parts);
            }
            requests.add(occurrence.call().request());
        }
        List<PromptPart> pattern = common == null ? List.of() : common;
        return new Finding(
                new PromptPattern(pattern.stream().filter(mIsSound.negate()).toList()),
                List.copyOf(suspicion.mRunners),
                List.copyOf(requests));
    }
}
