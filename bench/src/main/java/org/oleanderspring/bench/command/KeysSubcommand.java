package org.oleanderspring.bench.command;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import org.oleanderspring.bench.query.TextTable;
import org.oleanderspring.core.organisation.ApiKeyDigest;
import org.oleanderspring.core.organisation.Organisation;
import org.oleanderspring.core.organisation.OrganisationName;
import org.oleanderspring.core.organisation.query.OrganisationDirectory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the look-up of API keys and the time in which a changed configuration is taken over: the
 * digests of its keys and the directory, without parsing.
 */
@Command(
        name = "keys",
        mixinStandardHelpOptions = true,
        description = "Measures look-ups and changes of API keys on one thread.")
public final class KeysSubcommand implements Callable<Integer> {
    private static final int ORGANISATIONS = 100;
    private static final double NANOS_PER_MILLI = 1e6;

    @Option(names = "--keys", split = ",", description = "Numbers of keys.")
    private List<Integer> mKeys = List.of(1_000, 10_000, 100_000);

    @Option(names = "--rounds", description = "Rounds; the last one is reported.")
    private int mRounds = 10;

    @Option(names = "--look-ups", description = "Look-ups per round.")
    private int mLookUps = 1_000_000;

    @Override
    public Integer call() {
        TextTable table =
                new TextTable("keys", "ns/look-up", "ns/digest", "digests ms", "directory ms");
        for (int keys : mKeys) {
            addRow(table, keys);
        }
        System.out.print(table.text());
        return 0;
    }

    private void addRow(TextTable table, int keys) {
        double lookUp = 0;
        double digests = 0;
        double directoryTime = 0;
        int found = 0;
        for (int round = 0; round < mRounds; round++) {
            long start = System.nanoTime();
            List<ApiKeyDigest> known = new ArrayList<>(keys);
            for (int key = 0; key < keys; key++) {
                known.add(ApiKeyDigest.of("k" + round + "x" + key + "abcdefghijkl"));
            }
            digests = System.nanoTime() - start;
            List<Organisation> organisations = organisations(known);
            start = System.nanoTime();
            OrganisationDirectory directory = new OrganisationDirectory(organisations);
            directoryTime = System.nanoTime() - start;
            start = System.nanoTime();
            for (int index = 0; index < mLookUps; index++) {
                ApiKeyDigest key = known.get((int) ((index * 7_919L) % keys));
                found += directory.find(new ApiKeyDigest(key.high(), key.low())) == null ? 0 : 1;
            }
            lookUp = (System.nanoTime() - start) / (double) mLookUps;
        }
        if (found != mRounds * mLookUps) {
            throw new IllegalStateException("keys are missing in the directory");
        }
        table.addRow(
                Integer.toString(keys),
                format(lookUp),
                format(digests / keys),
                format(digests / NANOS_PER_MILLI),
                format(directoryTime / NANOS_PER_MILLI));
    }

    private static List<Organisation> organisations(List<ApiKeyDigest> keys) {
        List<Organisation> organisations = new ArrayList<>();
        for (int index = 0; index < ORGANISATIONS; index++) {
            Set<ApiKeyDigest> own = new HashSet<>();
            for (int key = index; key < keys.size(); key += ORGANISATIONS) {
                own.add(keys.get(key));
            }
            organisations.add(new Organisation(new OrganisationName("o" + index), own, null, null));
        }
        return organisations;
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}
