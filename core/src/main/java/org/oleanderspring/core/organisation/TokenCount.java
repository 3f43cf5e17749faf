package org.oleanderspring.core.organisation;

/**
 * The tokens of a request, as its caller names them.
 *
 * @param prompt the tokens of the prompt
 * @param maxOutput the largest number of tokens that it may generate
 */
public record TokenCount(long prompt, long maxOutput) {
    /** Larger numbers are no token counts of a model and would distort sums. */
    public static final long MAX = 100_000_000;

    /** Rejects numbers outside of 0 to {@link #MAX}. */
    public TokenCount {
        if (prompt < 0 || prompt > MAX || maxOutput < 0 || maxOutput > MAX) {
            throw new IllegalArgumentException(
                    "token count is out of range: " + prompt + ", " + maxOutput);
        }
    }

    /** Returns the tokens of the prompt and of the output together. */
    public long total() {
        return prompt + maxOutput;
    }
}
