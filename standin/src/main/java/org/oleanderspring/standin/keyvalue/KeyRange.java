package org.oleanderspring.standin.keyvalue;

/**
 * A single key or a range of keys, in the encoding of the HTTP/JSON form of etcd v3.
 *
 * @param key the first key
 * @param end the exclusive end of the range; empty for a single key; a zero character for all keys
 *     from the first on
 */
public record KeyRange(String key, String end) {
    private static final String NO_END = "\0";

    /**
     * Returns whether a key is in the range.
     *
     * @param candidate the key to test
     */
    public boolean contains(String candidate) {
        if (end.isEmpty()) {
            return candidate.equals(key);
        }
        if (candidate.compareTo(key) < 0) {
            return false;
        }
        return end.equals(NO_END) || candidate.compareTo(end) < 0;
    }
}
