package org.oleanderspring.core.organisation;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * How much an organisation may ask for, over all daemons together.
 *
 * @param ratePerSecond the units that become available in a second
 * @param burst the units that may be used at once beyond the rate
 * @param unit what is counted
 * @param tokensOfPlainRequest what a request without a token count counts as if tokens are counted
 */
public record Quota(
        double ratePerSecond, double burst, QuotaUnit unit, double tokensOfPlainRequest) {
    /** Rejects a null unit and numbers that are negative or not finite. */
    public Quota {
        Objects.requireNonNull(unit, "unit");
        requireAmount("rate", ratePerSecond);
        requireAmount("burst", burst);
        requireAmount("tokens of a plain request", tokensOfPlainRequest);
    }

    private static void requireAmount(String name, double value) {
        if (!(value >= 0) || Double.isInfinite(value)) {
            throw new IllegalArgumentException(
                    "quota is out of range: " + name + " " + value + "; allowed: at least 0");
        }
    }

    /**
     * Returns what a request costs.
     *
     * @param tokens the tokens of the request, or null if it does not name them
     */
    public double costOf(@Nullable TokenCount tokens) {
        if (unit == QuotaUnit.REQUESTS) {
            return 1;
        }
        return tokens == null ? tokensOfPlainRequest : tokens.total();
    }
}
