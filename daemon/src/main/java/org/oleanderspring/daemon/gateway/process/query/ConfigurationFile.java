package org.oleanderspring.daemon.gateway.process.query;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.review.Finding;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.platform.codec.Decoded;
import org.oleanderspring.platform.hosted.codec.FleetConfigurationCodec;

/** Reads the configuration of a hosted fleet from a file, in the way in which a daemon reads it. */
public sealed interface ConfigurationFile {
    /** The largest value that the platform's key-value service takes. */
    long MAX_BYTES = 1 << 20;

    /**
     * A file with a configuration.
     *
     * @param configuration the configuration
     * @param faults the entries that daemons leave out or read with a reservation
     */
    record Readable(FleetConfiguration configuration, List<Finding> faults)
            implements ConfigurationFile {
        /** Copies the list; rejects a null configuration. */
        public Readable {
            Objects.requireNonNull(configuration, "configuration");
            faults = List.copyOf(faults);
        }
    }

    /**
     * A file that daemons would not take.
     *
     * @param finding what is wrong with it
     */
    record Unusable(Finding finding) implements ConfigurationFile {}

    /**
     * Reads a file.
     *
     * @param file the path of the file
     * @throws IOException if it cannot be read
     */
    static ConfigurationFile read(Path file) throws IOException {
        long size = Files.size(file);
        if (size > MAX_BYTES) {
            return new Unusable(
                    Finding.of(
                            ErrorMessage.CONFIGURATION_TOO_LARGE,
                            file.toString(),
                            Long.toString(size),
                            Long.toString(MAX_BYTES)));
        }
        List<Finding> faults = new ArrayList<>();
        Decoded<FleetConfiguration> decoded =
                FleetConfigurationCodec.decode(
                        Files.readAllBytes(file),
                        fault ->
                                faults.add(
                                        Finding.of(
                                                ErrorMessage.CONFIGURATION_FAULT,
                                                file.toString(),
                                                fault)));
        if (decoded instanceof Decoded.Value<FleetConfiguration> configuration) {
            return new Readable(configuration.value(), faults);
        }
        // The text may span lines; each finding is one line.
        String problem = Decoded.problem(decoded).replaceAll("\\s+", " ");
        return new Unusable(
                Finding.of(ErrorMessage.CONFIGURATION_MALFORMED, file.toString(), problem));
    }
}
