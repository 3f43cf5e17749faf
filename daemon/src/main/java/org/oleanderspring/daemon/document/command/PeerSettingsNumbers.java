package org.oleanderspring.daemon.document.command;

import java.util.LinkedHashMap;
import java.util.Map;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.DocumentVersion;
import org.oleanderspring.coordination.document.command.DocumentEvent;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.daemon.process.StoreKeys;

/** The latest settings numbers that other daemons reported, for the status output. */
final class PeerSettingsNumbers {
    /**
     * Bounds the memory. In a larger fleet the least recently updated members have no number in the
     * status.
     */
    private static final int LIMIT = 2_048;

    private final Map<Address, Long> mNumbers =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Address, Long> eldest) {
                    return size() > LIMIT;
                }
            };

    void update(DocumentEvent event) {
        if (event instanceof DocumentEvent.PeerReplied replied) {
            update(replied.peer(), replied.digest());
        } else if (event instanceof DocumentEvent.DigestReceived received) {
            update(received.peer(), received.digest());
        }
    }

    Map<Address, Long> numbers() {
        return Map.copyOf(mNumbers);
    }

    private void update(Address peer, DocumentDigest digest) {
        for (DocumentVersion version : digest.versions()) {
            if (version.name().equals(StoreKeys.SETTINGS)) {
                mNumbers.put(peer, version.number());
            }
        }
    }
}
