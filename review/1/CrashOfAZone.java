package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The runners of one zone crash while an application that was idle before begins to ask. No runner
 * crashes because of a prompt, and all requests are proper.
 *
 * <p>Judged is the rule DENIED: the daemons end no more than 5 and one in 500 of all requests with a
 * 4xx of their own other than 408, 421 and 429.
 */
public final class CrashOfAZone {
    private static final String SERVICE = "lm";
    private static final int EVENTS = 49;
    private static final int EVENT_GAP_MILLIS = 66;
    private static final int DOWN_MILLIS = 2_000;
    private static final int CRASH_AFTER_MILLIS = 400;
    private static final int THINKING_MILLIS = 2_000;

    private final Trial mTrial;
    private final AtomicInteger mNext = new AtomicInteger();
    private final AtomicInteger mRequests = new AtomicInteger();
    private final AtomicInteger mDenied = new AtomicInteger();
    private final AtomicInteger mServed = new AtomicInteger();

    private CrashOfAZone(Trial trial) {
        mTrial = trial;
    }

    public static void main(String[] arguments) throws Exception {
        int result;
        try (Trial trial = new Trial(Path.of(arguments[0]))) {
            result = new CrashOfAZone(trial).play();
        }
        System.exit(result);
    }

    private int play() throws Exception {
        List<String> models = List.of("m1", "m2", "m3", "m4");
        Map<String, Object> route = Setup.route("ask", "/ask/", "streaming", 12_000, SERVICE, 2);
        route.put("targetGapMs", 300);
        mTrial.store.put(
                "op/config",
                Setup.configuration(7, List.of(route), List.of(Setup.engineService(SERVICE, models, 0))));
        List<Runner> zone = new ArrayList<>();
        for (int number = 1; number <= 4; number++) {
            zone.add(runner("i-a" + number, "zone-a", List.of("m1")));
            runner("i-b" + number, "zone-b", List.of("m2", "m3"));
            runner("i-c" + number, "zone-c", List.of("m3", "m4"));
            runner("i-d" + number, "zone-d", List.of("m4", "m2"));
        }
        if (!mTrial.startDaemons(2)) {
            return 2;
        }
        for (int client = 0; client < 6; client++) {
            int number = client;
            Http.thread("client", () -> requests(number, "m" + (2 + number % 3), "7a11c3e5"));
        }
        Thread.sleep(6_000);
        mTrial.record.line("the application begins");
        for (int client = 0; client < 40; client++) {
            int number = client;
            Http.thread("client", () -> requests(number, "m1", "5c1e07a2"));
        }
        Thread.sleep(CRASH_AFTER_MILLIS);
        if (mTrial.trouble) {
            for (Runner runner : zone) {
                runner.crash();
            }
        }
        Thread.sleep(DOWN_MILLIS);
        for (int number = 1; mTrial.trouble && number <= 4; number++) {
            runner("i-e" + number, "zone-a", List.of());
        }
        Thread.sleep(60_000);
        int limit = 5 + mRequests.get() / 500;
        mTrial.record.say(
                "requests=" + mRequests + " served=" + mServed + " denied=" + mDenied + " allowed=" + limit);
        return mDenied.get() > limit ? 1 : 0;
    }

    private Runner runner(String id, String zone, List<String> models) throws IOException {
        Runner runner =
                new Runner(
                        id, SERVICE, 32, models, mTrial.store, mTrial.record, Runner.stream(EVENTS, EVENT_GAP_MILLIS));
        runner.zone = zone;
        runner.onDisk(List.of("m1", "m2", "m3", "m4"));
        return runner;
    }

    /** Sends one request after the other; all prompts begin with the part of the application. */
    private void requests(int client, String model, String application) throws Exception {
        while (true) {
            String attempt = String.format("%016x", mNext.incrementAndGet());
            Daemon daemon = mTrial.daemons.get(client % mTrial.daemons.size());
            String outcome;
            long start = mTrial.record.now();
            double retryAfter = 0;
            try {
                Http.Message answer =
                        Http.call(
                                daemon.front(),
                                "POST /ask/2f HTTP/1.1\r\nHost: " + Setup.HOST + "\r\nAttempt-Id: " + attempt + "\r\nModel: "
                                        + model + "\r\nToken-Count: 826,294\r\nPrompt-Prefix: " + application + ":198,"
                                        + attempt.substring(8) + ":628\r\nDeadline-Ms: 12000\r\n",
                                new byte[1_700],
                                13_000);
                outcome = String.valueOf(answer.status());
                if (answer.status() == 200) {
                    mServed.incrementAndGet();
                }
                boolean denies = answer.status() >= 300 && answer.status() < 500;
                if (denies && answer.header("Server-Seal") == null
                        && !List.of(408, 421, 429).contains(answer.status())) {
                    mDenied.incrementAndGet();
                    outcome += " " + answer.text();
                }
                String after = answer.header("Retry-After");
                retryAfter = after == null ? retryAfter : Math.min(4, Double.parseDouble(after));
            } catch (IOException | RuntimeException failure) {
                outcome = failure.toString();
            }
            mRequests.incrementAndGet();
            mTrial.record.line(
                    "client attempt=" + attempt + " model=" + model + " daemon=" + daemon.name + " ms="
                            + (mTrial.record.now() - start) + " outcome=" + outcome);
            Thread.sleep((long) (1_000 * retryAfter) + THINKING_MILLIS);
        }
    }
}
