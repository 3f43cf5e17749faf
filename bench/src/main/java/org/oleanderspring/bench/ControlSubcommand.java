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
 * Measures the cost of membership and documents per daemon (processor time, bytes sent, memory) and
 * the time until a settings change is in force at all daemons.
 *
 * <p>The production deciders of all daemons run on one thread with a virtual clock. Messages arrive
 * within the step in which they are sent. The bytes are those of the production encoding, without
 * the headers of UDP, TCP and IP. The processor time is that of the one thread, divided by the
 * number of daemons. The columns "settle s" and "change s" are the virtual times until all daemons
 * see all members and have settings, and until a change is in force at all of them.
 */
@Command(
        name = "control",
        mixinStandardHelpOptions = true,
        description = "Measures the cost of membership and documents for each daemon.")
public final class ControlSubcommand implements Callable<Integer> {
    /** The interval of virtual time after which the timers of all daemons fire. */
    private static final Duration STEP = Duration.ofMillis(50);

    /** The virtual time after which a fleet is measured even if it has not converged. */
    private static final Duration CONVERGENCE_LIMIT = Duration.ofSeconds(120);

    /** The virtual time after which the wait for a settings change ends. */
    private static final Duration CHANGE_LIMIT = Duration.ofSeconds(60);

    @Spec private CommandSpec mSpec;

    @Option(
            names = "--daemons",
            split = ",",
            defaultValue = "50,200,800",
            description = "numbers of daemons")
    private List<Integer> mDaemonCounts;

    @Option(names = "--domains", defaultValue = "18", description = "number of failure domains")
    private int mDomains;

    @Option(
            names = "--seconds",
            defaultValue = "20",
            description = "virtual seconds for which the cost is measured")
    private int mSeconds;

    /** Called by picocli, which then sets the options. */
    @SuppressWarnings("NullAway.Init")
    public ControlSubcommand() {}

    @Override
    public Integer call() {
        print(
                "daemons  cpu%%/daemon  bytes/s/daemon  messages/s/daemon  KB/daemon  settle s"
                        + "  change s  service reads/s  watches%n");
        for (int size : mDaemonCounts) {
            measure(size);
        }
        return 0;
    }

    private void measure(int size) {
        long memoryBefore = usedMemory();
        Fleet fleet = new Fleet(size, mDomains);
        Duration convergence = fleet.runUntil(fleet::hasConverged, CONVERGENCE_LIMIT);
        if (!fleet.hasConverged()) {
            print("%7d  not converged: %s%n", size, fleet.describeConvergence());
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
        Duration changeTime = fleet.runUntil(fleet::isChangeInForce, CHANGE_LIMIT);
        if (!fleet.isChangeInForce()) {
            print("%7d  change not in force at all daemons: %s%n", size, fleet.describeChange());
        }
        print(
                "%7d  %11.3f  %14.0f  %17.1f  %9.0f  %8.1f  %8.2f  %15.1f  %7d%n",
                size,
                100.0 * cpu / Duration.ofSeconds(1).toNanos() / perDaemonSecond,
                bytes,
                messages,
                memory / 1024.0 / size,
                seconds(convergence),
                seconds(changeTime),
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

    /** All simulated daemons, the virtual clock, and the queue of messages between the daemons. */
    private static final class Fleet implements ControlPlaneNode.Environment {
        private final List<ControlPlaneNode> mNodes = new ArrayList<>();
        private final Map<Address, ControlPlaneNode> mNodesByAddress = new HashMap<>();
        private final ArrayDeque<Runnable> mDeliveries = new ArrayDeque<>();
        private final SimulatedDocumentStore mStore = new SimulatedDocumentStore();
        private Instant mNow = Instant.EPOCH;
        private long mBytes;
        private long mMessages;

        Fleet(int size, int domains) {
            List<Address> seeds = new ArrayList<>();
            for (int number = 0; number < size; number++) {
                ControlPlaneNode node = new ControlPlaneNode(number, number % domains, this, mNow);
                mNodes.add(node);
                mNodesByAddress.put(node.address(), node);
                seeds.add(node.address());
            }
            mNodes.forEach(node -> node.setSeeds(seeds, mNow));
        }

        /** Returns whether all daemons see all members and have settings. */
        boolean hasConverged() {
            return mNodes.stream().allMatch(node -> node.hasConverged(mNodes.size()));
        }

        String describeConvergence() {
            int members = mNodes.stream().mapToInt(ControlPlaneNode::liveMembers).min().orElse(0);
            long settings = mNodes.stream().filter(node -> node.settingsNumber() > 0).count();
            return settings
                    + " daemons have settings; the shortest member list has "
                    + members
                    + " live members";
        }

        String describeChange() {
            long changed = mNodes.stream().filter(node -> node.settingsNumber() > 1).count();
            return changed
                    + " daemons have the change; the proposal's result is "
                    + mNodes.get(0).lastResult();
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

        /**
         * Steps until the condition holds or the limit has passed; returns the virtual time taken.
         */
        Duration runUntil(BooleanSupplier condition, Duration limit) {
            Instant start = mNow;
            while (!condition.getAsBoolean() && mNow.isBefore(start.plus(limit))) {
                step();
            }
            return Duration.between(start, mNow);
        }

        private void step() {
            mNow = mNow.plus(STEP);
            for (ControlPlaneNode node : mNodes) {
                node.tick(mNow);
            }
            while (!mDeliveries.isEmpty()) {
                mDeliveries.remove().run();
            }
        }

        /** Counts every message, and drops those to addresses without a daemon. */
        @Override
        public void send(Address receiver, int bytes, Consumer<ControlPlaneNode> delivery) {
            mBytes += bytes;
            mMessages++;
            ControlPlaneNode node = mNodesByAddress.get(receiver);
            if (node != null) {
                mDeliveries.add(() -> delivery.accept(node));
            }
        }

        @Override
        public void deliverReply(Runnable reply) {
            mDeliveries.add(reply);
        }

        @Override
        public Instant now() {
            return mNow;
        }

        @Override
        public SimulatedDocumentStore store() {
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
