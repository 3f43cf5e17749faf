package org.oleanderspring.daemon.gateway.process.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.command.CompareAndSwap;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.core.quarantine.QuarantineEntry;
import org.oleanderspring.daemon.gateway.GatewayKeys;
import org.oleanderspring.daemon.gateway.process.query.QuarantineReader;
import org.oleanderspring.daemon.gateway.quarantine.AdministrationResult;
import org.oleanderspring.daemon.gateway.quarantine.QuarantineEntryCodec;
import org.oleanderspring.platform.hosted.command.HostedKeyValueCommands;
import org.oleanderspring.platform.http.HttpCallSender;
import org.oleanderspring.platform.http.SharedHttpClient;

/**
 * Withdraws entries of the quarantine in the key-value service, where the daemons follow them. Its
 * methods block.
 */
public final class QuarantineWithdrawal {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    /** Another writer may change the entries between the read and the write. */
    private static final int WRITE_ATTEMPTS = 5;

    private final QuarantineReader mReader;
    private final HostedKeyValueCommands mCommands;

    /**
     * Creates the command; it connects with the first call.
     *
     * @param client sends the requests
     * @param store the address of the platform's key-value service
     */
    public QuarantineWithdrawal(SharedHttpClient client, Address store) {
        mReader = new QuarantineReader(client, store);
        mCommands = new HostedKeyValueCommands(new HttpCallSender(client, 1), store, TIMEOUT);
    }

    /**
     * Withdraws an entry, so that the daemons let calls with its pattern through again.
     *
     * @param id the id of the entry's pattern
     * @param now the current time
     * @return the withdrawn entry
     */
    public AdministrationResult withdraw(String id, Instant now) {
        AdministrationResult result = new AdministrationResult.NotFound();
        for (int attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
            result = tryToWithdraw(id, now);
            if (!(result instanceof AdministrationResult.Unavailable)) {
                return result;
            }
        }
        return result;
    }

    private AdministrationResult tryToWithdraw(String id, Instant now) {
        QuarantineReader.Stored stored = mReader.read();
        if (!(stored.result() instanceof AdministrationResult.Entries entries)) {
            return stored.result();
        }
        List<QuarantineEntry> changed = new ArrayList<>();
        List<QuarantineEntry> withdrawn = new ArrayList<>();
        for (QuarantineEntry entry : entries.entries()) {
            boolean isMeant = entry.pattern().id().equals(id) && entry.isActive(now);
            changed.add(isMeant ? entry.withdrawn() : entry);
            if (isMeant) {
                withdrawn.add(entry.withdrawn());
            }
        }
        return withdrawn.isEmpty()
                ? new AdministrationResult.NotFound()
                : write(stored.revision(), changed, withdrawn);
    }

    private AdministrationResult write(
            Revision expected, List<QuarantineEntry> entries, List<QuarantineEntry> withdrawn) {
        WriteResult result =
                mCommands
                        .compareAndSwap(
                                new CompareAndSwap(
                                        GatewayKeys.QUARANTINE,
                                        expected,
                                        QuarantineEntryCodec.encode(entries),
                                        StoreLeaseId.NONE))
                        .join();
        return result instanceof WriteResult.Written
                ? new AdministrationResult.Entries(withdrawn)
                : new AdministrationResult.Unavailable(result.toString());
    }
}
