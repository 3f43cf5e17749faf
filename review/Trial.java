package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** What all scripts share: a temporary folder, a store, daemons on loopback, and the record. */
final class Trial implements AutoCloseable {
    final Store store = new Store();
    final Record record;
    final List<Daemon> daemons = new ArrayList<>();

    /** Whether the disruption is played; the environment variable TROUBLE set to 0 leaves it out. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private final Path mFolder = Files.createTempDirectory("review");
    private final int mPeerPort;
    private final String mNetwork;

    Trial(Path recordFile) throws IOException {
        record = new Record(recordFile);
        ThreadLocalRandom random = ThreadLocalRandom.current();
        mNetwork = "127." + random.nextInt(20, 220) + "." + random.nextInt(1, 250) + ".";
        mPeerPort = Daemon.freePorts(mNetwork + "1", 1).get(0);
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopDaemons));
        record.line("trouble=" + trouble);
    }

    /** Starts daemons and waits until they are ready; returns whether they are. */
    boolean startDaemons(int count) throws IOException, InterruptedException {
        for (int number = 1; number <= count; number++) {
            Daemon daemon = new Daemon("node-" + number, mNetwork + number, store, mPeerPort, mFolder);
            daemons.add(daemon);
            daemon.start();
        }
        boolean ready = true;
        for (Daemon daemon : daemons) {
            ready &= daemon.awaitReady(40);
        }
        record.line("daemons ready=" + ready);
        return ready;
    }

    private void stopDaemons() {
        daemons.forEach(Daemon::close);
    }

    @Override
    public void close() throws IOException {
        stopDaemons();
        store.close();
        record.close();
        String keep = System.getenv("KEEP_LOGS");
        try (Stream<Path> files = Files.walk(mFolder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                if (keep != null && Files.isRegularFile(file)) {
                    Files.copy(
                            file,
                            Path.of(keep).resolve(file.getFileName()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                Files.delete(file);
            }
        }
    }
}
