package org.oleanderspring.daemon.gateway.quarantine;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.QuarantineEntry;

/**
 * Encodes quarantine entries as UTF-8 text: a line with the name and version of the format, then a
 * line for each entry. Its fields, separated by tabs, are the parts of the pattern, the generation,
 * {@code refused} or {@code withdrawn}, {@code confirmed} or {@code suspected}, the number of
 * trials, the end of the refusals as an ISO 8601 instant, the runners and the requests. The
 * elements of lists are separated by commas.
 */
public final class QuarantineEntryCodec {
    private static final String HEADER = "quarantine 2";
    private static final String FIELD_SEPARATOR = "\t";
    private static final String LIST_SEPARATOR = ",";
    private static final int FIELDS = 8;
    private static final String REFUSED = "refused";
    private static final String WITHDRAWN = "withdrawn";
    private static final String CONFIRMED = "confirmed";
    private static final String SUSPECTED = "suspected";

    private QuarantineEntryCodec() {}

    /**
     * Encodes entries.
     *
     * @param entries the entries
     */
    public static byte[] encode(Collection<QuarantineEntry> entries) {
        StringBuilder text = new StringBuilder(HEADER).append('\n');
        for (QuarantineEntry entry : entries) {
            text.append(
                            String.join(
                                    FIELD_SEPARATOR,
                                    entry.pattern().toString(),
                                    Integer.toString(entry.generation()),
                                    entry.isWithdrawn() ? WITHDRAWN : REFUSED,
                                    entry.isConfirmed() ? CONFIRMED : SUSPECTED,
                                    Integer.toString(entry.trials()),
                                    entry.until().toString(),
                                    list(entry.runners().stream().map(EndpointId::value).toList()),
                                    list(entry.requests())))
                    .append('\n');
        }
        return text.toString().getBytes(UTF_8);
    }

    /** Names come from other processes, so they may contain the separators. */
    private static String list(List<String> names) {
        return String.join(
                LIST_SEPARATOR,
                names.stream().map(name -> name.replaceAll("[,\\s]", "_")).toList());
    }

    /**
     * Decodes entries.
     *
     * @param bytes the value of the key
     * @return the entries, or empty if the value is not in this format
     */
    public static Optional<List<QuarantineEntry>> decode(byte[] bytes) {
        String[] lines = new String(bytes, UTF_8).split("\n");
        if (!lines[0].equals(HEADER)) {
            return Optional.empty();
        }
        List<QuarantineEntry> entries = new ArrayList<>();
        try {
            for (int index = 1; index < lines.length; index++) {
                entries.add(entry(lines[index]));
            }
        } catch (IllegalArgumentException | DateTimeException malformed) {
            return Optional.empty();
        }
        return Optional.of(entries);
    }

    private static QuarantineEntry entry(String line) {
        String[] fields = line.split(FIELD_SEPARATOR, FIELDS);
        if (fields.length != FIELDS) {
            throw new IllegalArgumentException("a field is missing: " + line);
        }
        return new QuarantineEntry(
                new PromptPattern(names(fields[0]).stream().map(PromptPart::new).toList()),
                Integer.parseInt(fields[1]),
                isFirst(fields[2], WITHDRAWN, REFUSED),
                isFirst(fields[3], CONFIRMED, SUSPECTED),
                Integer.parseInt(fields[4]),
                Instant.parse(fields[5]),
                names(fields[6]).stream().map(EndpointId::new).toList(),
                names(fields[7]));
    }

    /** Returns whether a field is the first of the two words that it may be. */
    private static boolean isFirst(String field, String first, String second) {
        if (!field.equals(first) && !field.equals(second)) {
            throw new IllegalArgumentException("unknown state: " + field);
        }
        return field.equals(first);
    }

    private static List<String> names(String list) {
        return list.isEmpty() ? List.of() : List.of(list.split(LIST_SEPARATOR));
    }
}
