package org.oleanderspring.daemon.gateway.process.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.command.CompareAndSwap;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;
import org.oleanderspring.core.quarantine.QuarantineEntry;
import org.oleanderspring.daemon.gateway.GatewayKeys;
import org.oleanderspring.daemon.gateway.quarantine.AdministrationResult;
import org.oleanderspring.daemon.gateway.quarantine.QuarantineEntryCodec;
import org.oleanderspring.platform.hosted.command.HostedKeyValueCommands;
import org.oleanderspring.platform.hosted.query.HostedKeyValueQueries;
import org.oleanderspring.platform.http.HttpCallSender;
import org.oleanderspring.platform.http.HttpClientOptions;
import org.oleanderspring.platform.http.SharedHttpClient;

/**
 * Reads and withdraws the entries of the quarantine in the key-value service, where the daemons
 * follow them. Its methods block.
 */
public final class QuarantineAdministration implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    /** Another writer may change the entries between the read and the write. */
    private static final int WRITE_ATTEMPTS = 5;

    private final SharedHttpClient mClient = new SharedHttpClient(HttpClientOptions.DEFAULT);
    private final HostedKeyValueCommands mCommands;
    private final HostedKeyValueQueries mQueries;

    /**
     * Creates a client; it connects with the first command.
     *
     * @param store the address of the platform's key-value service
     */
    public QuarantineAdministration(Address store) {
        HttpCallSender calls = new HttpCallSender(mClient, 1);
        mCommands = new HostedKeyValueCommands(calls, store, TIMEOUT);
        mQueries =
                new HostedKeyValueQueries(
                        calls, mClient.jettyClient().getScheduler(), store, TIMEOUT);
    }

    /** Returns all entries, also those that were withdrawn or have ended. */
    public AdministrationResult list() {
        ReadResult result = mQueries.read(GatewayKeys.QUARANTINE).join();
        if (result instanceof ReadResult.Unavailable unavailable) {
            return new AdministrationResult.Unavailable(unavailable.reason());
        }
        List<StoredValue> values = ((ReadResult.Found) result).values();
        return values.isEmpty()
                ? new AdministrationResult.Entries(List.of())
                : decode(values.get(0));
    }

    private static AdministrationResult decode(StoredValue value) {
        Optional<List<QuarantineEntry>> entries = QuarantineEntryCodec.decode(value.bytes());
        return entries.isPresent()
                ? new AdministrationResult.Entries(entries.get())
                : new AdministrationResult.Unavailable("the entries are not readable");
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
            ReadResult read = mQueries.read(GatewayKeys.QUARANTINE).join();
            if (read instanceof ReadResult.Unavailable unavailable) {
                return new AdministrationResult.Unavailable(unavailable.reason());
            }
            List<StoredValue> values = ((ReadResult.Found) read).values();
            if (values.isEmpty()) {
                return new AdministrationResult.NotFound();
            }
            result = withdraw(id, values.get(0), now);
            if (!(result instanceof AdministrationResult.Unavailable)) {
                return result;
            }
        }
        return result;
    }

    private AdministrationResult withdraw(String id, StoredValue value, Instant now) {
        AdministrationResult known = decode(value);
        if (!(known instanceof AdministrationResult.Entries entries)) {
            return known;
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
                : write(value.revision(), changed, withdrawn);
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

    @Override
    public void close() {
        mClient.close();
    }
}
