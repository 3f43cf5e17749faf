package org.oleanderspring.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.oleanderspring.coordination.membership.Address;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Measures what membership and documents cost a daemon: processor time, bytes, memory, and how long
 * a settings change takes until it is in force everywhere.
 *
 * <p>It runs the real deciders of all daemons on one thread with a virtual clock. Messages arrive
 * within the step in which they are sent; bytes are those of the real encoding, without the headers
 * of UDP, TCP and IP.
 */
@Command(
        name = "control",
        mixinStandardHelpOptions = true,
        description = "Measures the cost of membership and documents for each daemon.")
public final class ControlSubcommand implements Callable<Integer> {
    private static final Duration STEP = Duration.ofMillis(50);
    private static final Duration SETTLE_LIMIT = Duration.ofSeconds(120);
    private static final Duration CHANGE_LIMIT = Duration.ofSeconds(60);

    @Spec private CommandSpec mSpec;

    @Option(names = "--daemons", split = ",", defaultValue = "50,200,800")
    private List<Integer> mSizes;

    @Option(names = "--domains", defaultValue = "18", description = "failure domains")
    private int mDomains;

    @Option(names = "--seconds", defaultValue = "20", description = "virtual seconds measured")
    private int mSeconds;

    /** Created by the command line parser, which sets the flags. */
    @SuppressWarnings("NullAway.Init")
    public ControlSubcommand() {}

    @Override
    public Integer call() {
        print(
                "daemons  cpu%%/daemon  bytes/s/daemon  messages/s/daemon  KB/daemon  settle s"
                        + "  change s  service reads/s  watches%n");
        for (int size : mSizes) {
            measure(size);
        }
        return 0;
    }

    private void measure(int size) {
        long memoryBefore = usedMemory();
        Fleet fleet = new Fleet(size, mDomains);
        Duration settle = fleet.runUntil(fleet::isSettled, SETTLE_LIMIT);
        if (!fleet.isSettled()) {
            print("%7d  not settled: %s%n", size, fleet.describe());
        }
        long memory = usedMemory() - memoryBefore;
        fleet.resetCounts();
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long cpuBefore = threads.getCurrentThreadCpuTime();
        fleet.run(Duration.ofSeconds(mSeconds));
        long cpu = threads.getCurrentThreadCpuTime() - cpuBefore;
        double perDaemonSecond = (double) size * mSeconds;
        double bytes = fleet.bytes() / perDaemonSecond;
        double messages = fleet.messages() / perDaemonSecond;
        double reads = (double) fleet.reads() / mSeconds;
        fleet.proposeChange();
        Duration change = fleet.runUntil(fleet::isChangeInForce, CHANGE_LIMIT);
        if (!fleet.isChangeInForce()) {
            print("%7d  change not in force: %s%n", size, fleet.describeChange());
        }
        print(
                "%7d  %11.3f  %14.0f  %17.1f  %9.0f  %8.1f  %8.2f  %15.1f  %7d%n",
                size,
                100.0 * cpu / Duration.ofSeconds(1).toNanos() / perDaemonSecond,
                bytes,
                messages,
                memory / 1024.0 / size,
                seconds(settle),
                seconds(change),
                reads,
                fleet.watches());
    }

    private void print(String format, Object... arguments) {
        mSpec.commandLine().getOut().printf(format, arguments);
        mSpec.commandLine().getOut().flush();
    }

    private static double seconds(Duration duration) {
        return duration.toMillis() / 1000.0;
    }

    private static long usedMemory() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    /** All daemons with the messages between them. */
    private static final class Fleet implements ControlNode.Outside {
        private final List<ControlNode> mNodes = new ArrayList<>();
        private final Map<Address, ControlNode> mByAddress = new HashMap<>();
        private final ArrayDeque<Runnable> mDeliveries = new ArrayDeque<>();
        private final ControlStore mStore = new ControlStore();
        private Instant mNow = Instant.EPOCH;
        private long mBytes;
        private long mMessages;

        Fleet(int size, int domains) {
            List<Address> seeds = new ArrayList<>();
            for (int number = 0; number < size; number++) {
                ControlNode node = new ControlNode(number, number % domains, this, mNow);
                mNodes.add(node);
                mByAddress.put(node.address(), node);
                seeds.add(node.address());
            }
            mNodes.forEach(node -> node.listSeeds(seeds, mNow));
        }

        boolean isSettled() {
            return mNodes.stream().allMatch(node -> node.knows(mNodes.size()));
        }

        String describe() {
            int members = mNodes.stream().mapToInt(ControlNode::known).min().orElse(0);
            long settings = mNodes.stream().filter(node -> node.settingsNumber() > 0).count();
            return settings + " daemons have settings, the smallest member list has " + members;
        }

        String describeChange() {
            long changed = mNodes.stream().filter(node -> node.settingsNumber() > 1).count();
            return changed + " daemons have it, result " + mNodes.get(0).lastResult();
        }

        boolean isChangeInForce() {
            return mNodes.stream().allMatch(node -> node.settingsNumber() > 1);
        }

        void proposeChange() {
            mNodes.get(0).proposeChange(mNow);
        }

        void run(Duration duration) {
            Instant end = mNow.plus(duration);
            while (mNow.isBefore(end)) {
                step();
            }
        }

        Duration runUntil(BooleanSupplier condition, Duration limit) {
            Instant start = mNow;
            while (!condition.getAsBoolean() && mNow.isBefore(start.plus(limit))) {
                step();
            }
            return Duration.between(start, mNow);
        }

        private void step() {
            mNow = mNow.plus(STEP);
            for (ControlNode node : mNodes) {
                node.tick(mNow);
            }
            while (!mDeliveries.isEmpty()) {
                mDeliveries.remove().run();
            }
        }

        @Override
        public void send(Address receiver, int bytes, Consumer<ControlNode> message) {
            mBytes += bytes;
            mMessages++;
            ControlNode node = mByAddress.get(receiver);
            if (node != null) {
                mDeliveries.add(() -> message.accept(node));
            }
        }

        @Override
        public void later(Runnable reply) {
            mDeliveries.add(reply);
        }

        @Override
        public Instant now() {
            return mNow;
        }

        @Override
        public ControlStore store() {
            return mStore;
        }

        void resetCounts() {
            mBytes = 0;
            mMessages = 0;
            mStore.resetCounts();
        }

        long bytes() {
            return mBytes;
        }

        long messages() {
            return mMessages;
        }

        long reads() {
            return mStore.reads();
        }

        int watches() {
            return mStore.watches();
        }
    }
}
