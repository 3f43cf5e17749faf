package org.oleanderspring.daemon.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import org.oleanderspring.standin.hosted.EndlessAnswer;

/**
 * Measures what the clients of another service see while two runners send bytes without end, one
 * line for each form of answer. Run by hand, with the seconds for each form and their names.
 */
final class FaultyRunnerMeasurement {
    private static final int STREAM_CLIENTS = 8;
    private static final int ORDER_CLIENTS = 2;
    private static final long ORDER_PAUSE_MILLIS = 20;

    private FaultyRunnerMeasurement() {}

    /**
     * Measures the given forms, or all of them.
     *
     * @param arguments the seconds, and the names of forms
     */
    public static void main(String[] arguments) throws Exception {
        int seconds = Integer.parseInt(arguments[0]);
        List<EndlessAnswer> answers = new ArrayList<>();
        for (int index = 1; index < arguments.length; index++) {
            answers.add(EndlessAnswer.valueOf(arguments[index]));
        }
        for (EndlessAnswer answer : answers.isEmpty() ? List.of(EndlessAnswer.values()) : answers) {
            System.out.println(measure(answer, seconds));
        }
        System.exit(0);
    }

    private static String measure(EndlessAnswer answer, int seconds) throws Exception {
        try (FaultyRunnerScene scene = new FaultyRunnerScene(answer)) {
            long end = System.nanoTime() + seconds * 1_000_000_000L;
            List<Long> millis = Collections.synchronizedList(new ArrayList<>());
            AtomicInteger asked = new AtomicInteger();
            AtomicInteger streamsServed = new AtomicInteger();
            AtomicInteger streams = new AtomicInteger();
            List<Thread> threads = new ArrayList<>();
            for (int client = 0; client < STREAM_CLIENTS; client++) {
                threads.add(
                        start(
                                () -> {
                                    while (System.nanoTime() < end) {
                                        streams.incrementAndGet();
                                        if (scene.stream() == 200) {
                                            streamsServed.incrementAndGet();
                                        }
                                    }
                                }));
            }
            for (int client = 0; client < ORDER_CLIENTS; client++) {
                threads.add(
                        start(
                                () -> {
                                    while (System.nanoTime() < end) {
                                        asked.incrementAndGet();
                                        long start = System.nanoTime();
                                        if (scene.order() == 200) {
                                            millis.add((System.nanoTime() - start) / 1_000_000);
                                        }
                                        pause();
                                    }
                                }));
            }
            for (Thread thread : threads) {
                thread.join();
            }
            Collections.sort(millis);
            return String.format(
                    Locale.ROOT,
                    "%-20s other service: answered %d of %d, p50 %d ms, p99 %d ms; same service: %d"
                            + " of %d; faulty answers %d; out of memory %b; alive %b",
                    answer,
                    millis.size(),
                    asked.get(),
                    quantile(millis, 0.5),
                    quantile(millis, 0.99),
                    streamsServed.get(),
                    streams.get(),
                    scene.faultyAnswers(),
                    scene.logText().contains("OutOfMemoryError"),
                    scene.isDaemonAlive());
        }
    }

    private static long quantile(List<Long> sorted, double share) {
        return sorted.isEmpty() ? -1 : sorted.get((int) (share * (sorted.size() - 1)));
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.start();
        return thread;
    }

    private static void pause() {
        try {
            Thread.sleep(ORDER_PAUSE_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
