package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with milliseconds since the start of the script. */
final class Record implements AutoCloseable {
    private final long mStart = System.nanoTime();
    private final PrintWriter mWriter;

    Record(Path file) throws IOException {
        mWriter = new PrintWriter(Files.newBufferedWriter(file));
    }

    long now() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    synchronized void line(String text) {
        mWriter.printf("%6d %s%n", now(), text);
        mWriter.flush();
    }

    /** Writes a line to the record and to standard output. */
    void say(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        mWriter.close();
    }
}
