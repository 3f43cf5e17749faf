package org.oleanderspring.coordination.dispatch;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The first 128 bits of the SHA-256 of an idempotency key. Records contain it instead of the key,
 * so that all records have the same small size; a collision of two keys is not expected.
 *
 * @param high the first 64 bits
 * @param low the next 64 bits
 */
public record KeyHash(long high, long low) {
    /**
     * Hashes a key.
     *
     * @param key the key
     */
    public static KeyHash of(IdempotencyKey key) {
        ByteBuffer digest = ByteBuffer.wrap(sha256().digest(key.value().getBytes(UTF_8)));
        return new KeyHash(digest.getLong(), digest.getLong());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every Java platform provides SHA-256", missing);
        }
    }
}
