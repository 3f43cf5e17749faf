package org.oleanderspring.daemon.gateway.process.query;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.ReadResult;
import org.oleanderspring.core.quarantine.QuarantineEntry;
import org.oleanderspring.daemon.gateway.GatewayKeys;
import org.oleanderspring.daemon.gateway.quarantine.AdministrationResult;
import org.oleanderspring.daemon.gateway.quarantine.QuarantineEntryCodec;
import org.oleanderspring.platform.hosted.query.HostedKeyValueQueries;
import org.oleanderspring.platform.http.HttpCallSender;
import org.oleanderspring.platform.http.SharedHttpClient;

/** Reads the entries of the quarantine in the key-value service. Its methods block. */
public final class QuarantineReader {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private final HostedKeyValueQueries mQueries;

    /**
     * Creates a reader; it connects with the first read.
     *
     * @param client sends the requests
     * @param store the address of the platform's key-value service
     */
    public QuarantineReader(SharedHttpClient client, Address store) {
        mQueries = new HostedKeyValueQueries(new HttpCallSender(client, 1), store, TIMEOUT);
    }

    /**
     * The stored entries.
     *
     * @param result the entries, or why they could not be read
     * @param revision the revision of their key; {@link Revision#ABSENT} if it does not exist
     */
    public record Stored(AdministrationResult result, Revision revision) {}

    /** Returns all entries, also those that were withdrawn or have ended. */
    public Stored read() {
        ReadResult result = mQueries.read(GatewayKeys.QUARANTINE).join();
        if (result instanceof ReadResult.Unavailable unavailable) {
            return new Stored(
                    new AdministrationResult.Unavailable(unavailable.reason()), Revision.ABSENT);
        }
        List<StoredValue> values = ((ReadResult.Found) result).values();
        @Nullable StoredValue value = values.isEmpty() ? null : values.get(0);
        return value == null
                ? new Stored(new AdministrationResult.Entries(List.of()), Revision.ABSENT)
                : new Stored(decode(value), value.revision());
    }

    private static AdministrationResult decode(StoredValue value) {
        Optional<List<QuarantineEntry>> entries = QuarantineEntryCodec.decode(value.bytes());
        return entries.isPresent()
                ? new AdministrationResult.Entries(entries.get())
                : new AdministrationResult.Unavailable("the entries are not readable");
    }
}
