package org.oleanderspring.daemon.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.StoreChange;
import org.oleanderspring.core.organisation.query.OrganisationDirectory;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.platform.codec.Decoded;
import org.oleanderspring.platform.hosted.codec.FleetConfigurationCodec;

/** An update from the watch on one key prefix of the key-value service. */
public sealed interface StoreUpdate {
    /** Returns the watched prefix. */
    StoreKey prefix();

    /**
     * A complete list of the values, which replaces those known before.
     *
     * @param prefix the watched prefix
     * @param values all values below the prefix
     */
    record Listed(StoreKey prefix, List<StoredValue> values) implements StoreUpdate {
        /** Copies the list; rejects null components. */
        public Listed {
            Objects.requireNonNull(prefix, "prefix");
            values = List.copyOf(values);
        }
    }

    /**
     * Values below the prefix were written or removed.
     *
     * @param prefix the watched prefix
     * @param changes the changes, oldest first
     */
    record Changed(StoreKey prefix, List<StoreChange> changes) implements StoreUpdate {
        /** Copies the list; rejects null components. */
        public Changed {
            Objects.requireNonNull(prefix, "prefix");
            changes = List.copyOf(changes);
        }
    }

    /**
     * The configuration was written. It is decoded by the thread that reads it, because a large one
     * would hold up the duties that use it.
     *
     * @param prefix the watched prefix
     * @param revision the revision at which it was written
     * @param configuration the configuration, or why it cannot be read
     * @param organisations the organisations of the configuration by their keys; empty if it cannot
     *     be read
     */
    record ConfigurationRead(
            StoreKey prefix,
            Revision revision,
            Decoded<FleetConfiguration> configuration,
            OrganisationDirectory organisations)
            implements StoreUpdate {
        /** Rejects null components. */
        public ConfigurationRead {
            Objects.requireNonNull(prefix, "prefix");
            Objects.requireNonNull(revision, "revision");
            Objects.requireNonNull(configuration, "configuration");
            Objects.requireNonNull(organisations, "organisations");
        }

        /**
         * Decodes a stored configuration.
         *
         * @param value the value
         * @param problems receives one message for each part of the document that is left out
         */
        public static ConfigurationRead of(StoredValue value, Consumer<String> problems) {
            Decoded<FleetConfiguration> decoded =
                    FleetConfigurationCodec.decode(value.bytes(), problems);
            OrganisationDirectory organisations =
                    decoded instanceof Decoded.Value<FleetConfiguration> configuration
                            ? new OrganisationDirectory(configuration.value().organisations())
                            : OrganisationDirectory.EMPTY;
            return new ConfigurationRead(value.key(), value.revision(), decoded, organisations);
        }
    }

    /**
     * All changes under the prefix up to a time have been reported.
     *
     * @param prefix the watched prefix
     * @param provenAt that time, by the clock of the duty that follows the store
     */
    record Confirmed(StoreKey prefix, Instant provenAt) implements StoreUpdate {
        /** Rejects null components. */
        public Confirmed {
            Objects.requireNonNull(prefix, "prefix");
            Objects.requireNonNull(provenAt, "provenAt");
        }
    }

    /**
     * The key-value service stopped responding; the values known so far may become outdated.
     *
     * @param prefix the watched prefix
     * @param reason the cause, for the log
     */
    record Interrupted(StoreKey prefix, String reason) implements StoreUpdate {
        /** Rejects null components. */
        public Interrupted {
            Objects.requireNonNull(prefix, "prefix");
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The key-value service has come back from a copy that may lack recent changes; its values
     * follow.
     *
     * @param prefix the watched prefix
     * @param era the era of the service from now on
     */
    record Restored(StoreKey prefix, StoreEra era) implements StoreUpdate {
        /** Rejects null components. */
        public Restored {
            Objects.requireNonNull(prefix, "prefix");
            Objects.requireNonNull(era, "era");
        }
    }

    /**
     * The key-value service responds again; the changes during the interruption follow.
     *
     * @param prefix the watched prefix
     * @param outdatedFor the time for which the values may have been outdated
     */
    record Resumed(StoreKey prefix, Duration outdatedFor) implements StoreUpdate {
        /** Rejects null components. */
        public Resumed {
            Objects.requireNonNull(prefix, "prefix");
            Objects.requireNonNull(outdatedFor, "outdatedFor");
        }
    }
}
