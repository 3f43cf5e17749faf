package org.oleanderspring.core.organisation;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The first 128 bits of the SHA-256 digest of an API key. Only digests are kept and compared, so
 * that a key itself appears in no log line, message or heap dump of the daemon. Keys are random, so
 * two of them do not share 128 bits.
 *
 * @param high the first 64 bits
 * @param low the next 64 bits
 */
public record ApiKeyDigest(long high, long low) {
    private static final int SHOWN_DIGITS = 12;

    /**
     * Returns the digest of a key.
     *
     * @param key the key as the caller or the configuration names it
     */
    public static ApiKeyDigest of(String key) {
        ByteBuffer digest = ByteBuffer.wrap(sha256().digest(key.getBytes(StandardCharsets.UTF_8)));
        return new ApiKeyDigest(digest.getLong(), digest.getLong());
    }

    /** Returns the first 48 bits in hexadecimal, as {@code sha256sum} shows them. */
    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(high).substring(0, SHOWN_DIGITS);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every Java platform has SHA-256", missing);
        }
    }
}
