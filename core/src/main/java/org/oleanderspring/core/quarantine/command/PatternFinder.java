package org.oleanderspring.core.quarantine.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.QuarantineLimits;
import org.oleanderspring.core.quarantine.SuspectCall;

/**
 * Finds the patterns of prompt parts that explain why runners crash.
 *
 * <p>A crash has several suspects: the calls that the runner was beginning to answer, each with
 * several parts. One of these parts may be deadly, that is, crash every runner that answers it. A
 * deadly part is never answered, and so a part that was answered lately is not considered. The last
 * part of a prompt is never considered on its own. Of the others, a part is reported if several
 * runners ({@link QuarantineLimits#crashesRequired}) crashed independently of each other under
 * calls with it ({@link IndependentCrashes}), and no other part explains these crashes better.
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
 * <p>If two parts in different calls are at the same crashes, neither is reported before more
 * runners ({@link QuarantineLimits#crashesIfAmbiguous}) have crashed, because the next crash
 * usually tells them apart.
 *
 * <p>The reported pattern contains all parts that always accompany the found part at the crashes,
 * except answered ones. A caller that adds the parts of others to deadly prompts therefore cannot
 * cause the calls of others to be refused.
 */
final class PatternFinder {
    private final List<SuspectCall> mCalls = new ArrayList<>();
    private final List<CrashLog.Crash> mCrashes = new ArrayList<>();
    private final Map<PromptPart, Suspicion> mSuspicions = new HashMap<>();
    private final Predicate<PromptPart> mIsSound;
    private final QuarantineLimits mLimits;

    private PatternFinder(
            Collection<CrashLog.Crash> crashes,
            Predicate<PromptPart> isSound,
            QuarantineLimits limits) {
        mIsSound = isSound;
        mLimits = limits;
        for (CrashLog.Crash crash : crashes) {
            crash.calls().forEach(this::add);
            mCrashes.add(crash);
        }
    }

    /** Adds a call at the runner that is added next. */
    private void add(SuspectCall call) {
        for (PromptPart part : call.prompt().sharedParts()) {
            if (!mIsSound.test(part)) {
                Suspicion suspicion = mSuspicions.computeIfAbsent(part, key -> new Suspicion());
                suspicion.mRunners.set(mCrashes.size());
                suspicion.mCalls.set(mCalls.size());
                if (call.exposure().compareTo(IndependentCrashes.MIN_EXPOSURE) >= 0) {
                    suspicion.mExposures.merge(
                            mCrashes.size(), call.exposure(), PatternFinder::shorter);
                }
            }
        }
        mCalls.add(call);
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    /**
     * Returns the patterns that explain the crashes.
     *
     * @param crashes the crashes
     * @param isSound whether a part was answered lately
     * @param limits how many crashes are evidence
     */
    static List<Finding> find(
            Collection<CrashLog.Crash> crashes,
            Predicate<PromptPart> isSound,
            QuarantineLimits limits) {
        return new PatternFinder(crashes, isSound, limits).find();
    }

    /**
     * A pattern that explains crashes.
     *
     * @param pattern the pattern
     * @param runners the crashed runners
     * @param requests the requests with the pattern at these runners
     */
    record Finding(PromptPattern pattern, List<EndpointId> runners, List<String> requests) {}

    /** The calls with one part and the runners that crashed under them, by their indexes. */
    private static final class Suspicion {
        private final BitSet mRunners = new BitSet();
        private final BitSet mCalls = new BitSet();

        /** The shortest exposure of a runner to a call with the part that may have crashed it. */
        private final Map<Integer, Duration> mExposures = new HashMap<>();

        int crashes() {
            return mRunners.cardinality();
        }
    }

    /** Returns how much evidence some of the crashes under calls with a part are. */
    private int independentCrashes(Suspicion suspicion, BitSet runners) {
        List<IndependentCrashes.Exposure> exposures = new ArrayList<>();
        suspicion.mExposures.forEach(
                (runner, exposure) -> {
                    if (runners.get(runner)) {
                        Instant endedAt = mCrashes.get(runner).endedAt();
                        exposures.add(
                                new IndependentCrashes.Exposure(endedAt.minus(exposure), endedAt));
                    }
                });
        return IndependentCrashes.count(exposures);
    }

    private List<Finding> find() {
        // Parts that always occur together lead to the same pattern, so one of them is enough.
        Map<BitSet, Suspicion> distinct = new LinkedHashMap<>();
        for (Suspicion suspicion : mSuspicions.values()) {
            if (suspicion.crashes() >= mLimits.crashesRequired()) {
                distinct.put(suspicion.mCalls, suspicion);
            }
        }
        Map<PromptPattern, Finding> findings = new HashMap<>();
        for (Suspicion candidate : distinct.values()) {
            if (independentCrashes(candidate, candidate.mRunners) >= crashesRequired(candidate)
                    && !isExplained(candidate, distinct.values())) {
                Finding finding = finding(candidate);
                findings.put(finding.pattern(), finding);
            }
        }
        return List.copyOf(findings.values());
    }

    /**
     * The attempts and the repeat of one request can account for all required crashes. Its own last
     * part then is in all calls, and the pattern would concern no other request.
     */
    private int crashesRequired(Suspicion suspicion) {
        long prompts =
                suspicion.mCalls.stream()
                        .mapToObj(call -> mCalls.get(call).prompt())
                        .distinct()
                        .count();
        return mLimits.crashesRequired() + (prompts == 1 ? 1 : 0);
    }

    private boolean isExplained(Suspicion candidate, Collection<Suspicion> others) {
        for (Suspicion other : others) {
            if (other != candidate && explains(other, candidate)) {
                return true;
            }
        }
        return false;
    }

    private boolean explains(Suspicion other, Suspicion candidate) {
        BitSet unexplained = without(candidate.mRunners, other.mRunners);
        if (without(other.mCalls, candidate.mCalls).isEmpty()) {
            return independentCrashes(candidate, unexplained) < mLimits.crashesRequired();
        }
        if (!unexplained.isEmpty() || without(candidate.mCalls, other.mCalls).isEmpty()) {
            return false;
        }
        return other.crashes() > candidate.crashes()
                || independentCrashes(candidate, candidate.mRunners) < mLimits.crashesIfAmbiguous();
    }

    /** Returns the elements of a set that are not in another set. */
    private static BitSet without(BitSet set, BitSet other) {
        BitSet rest = (BitSet) set.clone();
        rest.andNot(other);
        return rest;
    }

    private Finding finding(Suspicion suspicion) {
        List<SuspectCall> calls = suspicion.mCalls.stream().mapToObj(mCalls::get).toList();
        List<PromptPart> common = new ArrayList<>(calls.get(0).prompt().parts());
        calls.forEach(call -> common.retainAll(call.prompt().parts()));
        common.removeIf(mIsSound);
        return new Finding(
                new PromptPattern(common),
                suspicion.mRunners.stream()
                        .mapToObj(runner -> mCrashes.get(runner).runner())
                        .toList(),
                calls.stream().map(SuspectCall::request).distinct().toList());
    }
}
