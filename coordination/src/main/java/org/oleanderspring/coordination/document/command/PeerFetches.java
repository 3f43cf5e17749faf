package org.oleanderspring.coordination.document.command;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.membership.Address;

/** The fetches from other members that have no reply yet, at most one for each document. */
final class PeerFetches {
    private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(1);

    private final RandomGenerator mRandom;
    private final Map<DocumentName, Fetch> mFetches = new HashMap<>();
    private long mLastId;

    PeerFetches(RandomGenerator random) {
        mRandom = random;
    }

    /** Fetches a document from a member, unless a fetch of this document is pending. */
    Optional<DocumentDecision> fetch(Address peer, DocumentName name, Instant now) {
        Fetch earlier = mFetches.get(name);
        if (earlier != null && now.isBefore(earlier.sentAt().plus(REPLY_TIMEOUT))) {
            return Optional.empty();
        }
        mLastId++;
        mFetches.put(name, new Fetch(mLastId, peer, now));
        return Optional.of(new DocumentDecision.FetchDocument(peer, mLastId, name));
    }

    /**
     * Fetches a document from a member chosen at random, unless a fetch of this document is
     * pending.
     */
    Optional<DocumentDecision> fetchFromRandomPeer(
            List<Address> peers, DocumentName name, Instant now) {
        if (peers.isEmpty()) {
            return Optional.empty();
        }
        return fetch(peers.get(mRandom.nextInt(peers.size())), name, now);
    }

    /** Ends a fetch; returns when it was sent, or null if it is no longer pending. */
    @Nullable Instant end(long id, Address peer) {
        for (Map.Entry<DocumentName, Fetch> entry : mFetches.entrySet()) {
            Fetch fetch = entry.getValue();
            if (fetch.id() == id && fetch.peer().equals(peer)) {
                mFetches.remove(entry.getKey());
                return fetch.sentAt();
            }
        }
        return null;
    }

    private record Fetch(long id, Address peer, Instant sentAt) {}
}
