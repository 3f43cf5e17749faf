package org.oleanderspring.standin.load.query;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.oleanderspring.standin.load.CallResult;
import org.oleanderspring.standin.load.CallResult.Ending;

/**
 * Counts call results by ending and computes latency percentiles of served calls, separately for
 * cold and warm calls (see {@link CallResult#cold()}).
 */
public final class CallSummary {
    private final List<CallResult> mResults;

    /**
     * Makes an immutable copy of the results.
     *
     * @param results the results of all calls of a load run
     */
    public CallSummary(List<CallResult> results) {
        mResults = List.copyOf(results);
    }

    /**
     * Returns the number of calls that ended in the given way.
     *
     * @param ending how the calls ended
     */
    public long count(Ending ending) {
        return mResults.stream().filter(result -> result.ending() == ending).count();
    }

    /**
     * Returns the summary as text of several lines. A percentile is 0 if no call of its kind was
     * served.
     */
    public String describe() {
        Map<String, Integer> details = new TreeMap<>();
        for (CallResult result : mResults) {
            if (result.ending() != Ending.SERVED) {
                details.merge(result.detail(), 1, Integer::sum);
            }
        }
        return String.format(
                Locale.ROOT,
                "calls %d%nserved %d%nrefused, not run %d%nrefused, ran or unknown %d%nwrong"
                        + " answers %d%nlost %d%nreasons %s%ncold start p50 %d ms, p99 %d ms (%d"
                        + " calls)%nwarm p50 %d ms, p99 %d ms (%d calls)",
                mResults.size(),
                count(Ending.SERVED),
                count(Ending.REFUSED_NOT_RUN),
                count(Ending.REFUSED_OTHER),
                count(Ending.WRONG),
                count(Ending.LOST),
                details,
                percentile(true, 50),
                percentile(true, 99),
                served(true).size(),
                percentile(false, 50),
                percentile(false, 99),
                served(false).size());
    }

    private List<Duration> served(boolean cold) {
        return mResults.stream()
                .filter(result -> result.ending() == Ending.SERVED && result.cold() == cold)
                .map(CallResult::duration)
                .sorted()
                .toList();
    }

    /** Returns a percentile in milliseconds by the nearest-rank method. */
    private long percentile(boolean cold, int percent) {
        List<Duration> durations = served(cold);
        if (durations.isEmpty()) {
            return 0;
        }
        int index = (durations.size() * percent + 99) / 100 - 1;
        return durations.get(Math.max(0, index)).toMillis();
    }
}
