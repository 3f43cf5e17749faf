package org.oleanderspring.standin.engine;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * A bounded set of names that evicts the least recently added one; used on the engine's state
 * thread only.
 */
public final class BoundedNameSet {
    private final int mLimit;
    private final LinkedHashSet<String> mNames = new LinkedHashSet<>();

    /**
     * Creates an empty set.
     *
     * @param limit the maximum number of names
     */
    public BoundedNameSet(int limit) {
        mLimit = limit;
    }

    /**
     * Adds a name as the most recent one; a name that is present becomes the most recent one.
     *
     * @param name the name
     */
    public void add(String name) {
        mNames.remove(name);
        mNames.add(name);
        Iterator<String> oldest = mNames.iterator();
        while (mNames.size() > mLimit) {
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Returns whether the set contains a name; the check does not make it more recent.
     *
     * @param name the name
     */
    public boolean contains(String name) {
        return mNames.contains(name);
    }

    /** Returns the names as a live view, least recently added first. */
    public Set<String> names() {
        return mNames;
    }
}
