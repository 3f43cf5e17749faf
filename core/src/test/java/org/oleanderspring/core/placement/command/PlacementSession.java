package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.DaemonVm;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointKind;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.fleet.LoadState;
import org.oleanderspring.core.fleet.LoadedCheckpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.fleet.Vm;
import org.oleanderspring.core.fleet.VmId;
import org.oleanderspring.core.fleet.VmList;
import org.oleanderspring.core.fleet.VmState;
import org.oleanderspring.core.placement.KeepAliveLimits;
import org.oleanderspring.core.placement.LoadLimits;
import org.oleanderspring.core.placement.ModelLimits;
import org.oleanderspring.core.placement.OrderRejection;
import org.oleanderspring.core.placement.OrderResult;
import org.oleanderspring.core.placement.OrderSender;
import org.oleanderspring.core.placement.PlacementLimits;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.PlanWriteFailure;
import org.oleanderspring.core.placement.Slot;

/**
 * Replays a session file and describes all decisions. Each line is one step: {@code daemon NAME},
 * {@code lease}, {@code end}, {@code store ok|lost|down}, {@code wake MODEL WAITING}, {@code answer
 * accepted|stale|unknown}, {@code report RUNNER TOKEN [MODEL=STATE:CALLS]...}, {@code late-report
 * MILLIS RUNNER TOKEN [MODEL=STATE:CALLS]...}, {@code vms [VM=STATE]...}, {@code ack MEMBER},
 * {@code wait MILLIS}. There are two runners, {@code token}, which checks fencing tokens, and
 * {@code plain}, which ignores them. Each is on a VM of the same name with 100 MB of memory. Model
 * m takes 60 MB, and its adapter a takes 10 MB.
 */
final class PlacementSession {
    private static final CellName CELL = new CellName("cell");
    private static final Instant START = Instant.parse("2026-01-05T08:00:00Z");
    private static final List<Checkpoint> CATALOGUE =
            List.of(
                    new Checkpoint(new ModelName("m"), null, "1", 60),
                    new Checkpoint(new ModelName("a"), new ModelName("m"), "1", 10));

    private final FakePlanStore mStore = new FakePlanStore();
    private final Map<String, Daemon> mDaemons = new LinkedHashMap<>();
    private final Map<String, VmState> mVms = new TreeMap<>();
    private final StringBuilder mOutput = new StringBuilder();
    private Daemon mCurrent;
    private Instant mNow = START;

    PlacementSession() {
        mVms.put("token", VmState.LIVE);
        mVms.put("plain", VmState.LIVE);
    }

    String replay(List<String> lines) {
        for (String line : lines) {
            if (line.isBlank() || line.startsWith("#")) {
                mOutput.append(line).append('\n');
                continue;
            }
            long millis = Duration.between(START, mNow).toMillis();
            mOutput.append("[" + millis + " ms] ").append(line).append('\n');
            step(line.split(" "));
        }
        return mOutput.toString();
    }

    private void step(String[] words) {
        switch (words[0]) {
            case "daemon" -> mCurrent = mDaemons.computeIfAbsent(words[1], this::newDaemon);
            case "lease" -> apply(new PlacementEvent.TermStarted(mStore.plan(), mStore.revision()));
            case "end" -> apply(new PlacementEvent.TermEnded());
            case "store" -> store(words[1]);
            case "wake" -> requestActivation(words[1], Integer.parseInt(words[2]));
            case "answer" -> answer(words[1]);
            case "report" -> report(words, mNow);
            case "late-report" -> {
                Instant madeAt = mNow.minusMillis(Long.parseLong(words[1]));
                report(Arrays.copyOfRange(words, 1, words.length), madeAt);
            }
            case "vms" -> listVms(words);
            case "ack" -> {
                FencingToken term = mStore.plan().term();
                apply(new PlacementEvent.TermAcknowledged(new MemberId(words[1]), term));
            }
            case "wait" -> {
                mNow = mNow.plusMillis(Long.parseLong(words[1]));
                apply(new PlacementEvent.TimerFired());
            }
            default -> throw new IllegalArgumentException("unknown step: " + words[0]);
        }
    }

    private Daemon newDaemon(String name) {
        OrderSender self = new OrderSender(new MemberId(name), new VmId("entry-" + name));
        mVms.put("entry-" + name, VmState.LIVE);
        Daemon daemon = new Daemon(new DefaultPlacementDecider(CELL, self));
        PlacementLimits limits =
                new PlacementLimits(
                        new ModelLimits(1, 0),
                        Map.of(),
                        new LoadLimits(7, 4, 30),
                        new KeepAliveLimits(Duration.ofSeconds(60), Duration.ofSeconds(60), 50),
                        Duration.ofSeconds(3),
                        Duration.ofSeconds(30),
                        Duration.ofSeconds(2));
        daemon.decider().decide(new PlacementEvent.LimitsChanged(limits), mNow);
        daemon.decider().decide(new PlacementEvent.CatalogueListed(CATALOGUE), mNow);
        daemon.decider().decide(new PlacementEvent.VmsListed(vmList()), mNow);
        return daemon;
    }

    private VmList vmList() {
        List<Vm> vms = new ArrayList<>();
        List<DaemonVm> daemonVms = new ArrayList<>();
        Address address = new Address("127.0.0.1", 1);
        FailureDomain domain = new FailureDomain("f");
        mVms.forEach(
                (name, state) -> {
                    VmId vm = new VmId(name);
                    if (name.startsWith("entry")) {
                        daemonVms.add(new DaemonVm(vm, domain, state, address));
                        return;
                    }
                    EndpointKind kind = EndpointKind.RUNNER;
                    EndpointId id = new EndpointId(name);
                    boolean checks = name.equals("token");
                    Endpoint runner = new Endpoint(id, vm, address, kind, CELL, null, checks);
                    vms.add(new Vm(vm, domain, state, 100, List.of(runner)));
                });
        return new VmList(mNow, vms, daemonVms);
    }

    private void listVms(String[] words) {
        mVms.keySet().removeIf(name -> !name.startsWith("entry"));
        for (int i = 1; i < words.length; i++) {
            String[] parts = words[i].split("=");
            mVms.put(parts[0], VmState.valueOf(parts[1]));
        }
        apply(new PlacementEvent.VmsListed(vmList()));
    }

    private void requestActivation(String model, int waiting) {
        Instant deadline = mNow.plusSeconds(10);
        MemberId from = new MemberId("router");
        apply(
                new PlacementEvent.ActivationRequested(
                        from, new ModelName(model), deadline, waiting));
    }

    private void store(String outcome) {
        PlacementDecision.WritePlan write = mCurrent.writes().poll();
        if (write == null) {
            mOutput.append("    no write to answer\n");
            return;
        }
        Plan plan = write.plan();
        if (outcome.equals("down")) {
            var failure = new PlanWriteFailure.NotWritten("down");
            apply(new PlacementEvent.PlanWriteFailed(plan.mark(), failure));
            return;
        }
        PlanWriteFailure.Conflict conflict = mStore.write(plan, write.expected());
        if (outcome.equals("lost")) {
            var failure = new PlanWriteFailure.OutcomeUnknown("no reply");
            apply(new PlacementEvent.PlanWriteFailed(plan.mark(), failure));
        } else if (conflict != null) {
            apply(new PlacementEvent.PlanWriteFailed(plan.mark(), conflict));
        } else {
            apply(new PlacementEvent.PlanWritten(plan.mark(), mStore.revision()));
        }
    }

    private void answer(String word) {
        PlacementDecision.SendOrder sent = mCurrent.orders().poll();
        if (sent == null) {
            mOutput.append("    no order to answer\n");
            return;
        }
        OrderResult result =
                switch (word) {
                    case "accepted" -> new OrderResult.Accepted();
                    case "stale" -> new OrderResult.Rejected(OrderRejection.STALE_TOKEN);
                    default -> new OrderResult.Unknown("no answer");
                };
        apply(new PlacementEvent.OrderAnswered(sent.order().id(), result));
    }

    private void report(String[] words, Instant madeAt) {
        List<LoadedCheckpoint> loaded = new ArrayList<>();
        for (int i = 3; i < words.length; i++) {
            String[] parts = words[i].split("[=:]");
            LoadState state = LoadState.valueOf(parts[1]);
            int calls = Integer.parseInt(parts[2]);
            loaded.add(new LoadedCheckpoint(new ModelName(parts[0]), "1", state, calls));
        }
        FencingToken token = new FencingToken(Long.parseLong(words[2]));
        EndpointId runner = new EndpointId(words[1]);
        Set<ModelName> none = Set.of();
        apply(
                new PlacementEvent.RunnerReported(
                        new RunnerReport(
                                runner, madeAt, token, loaded, none, none, Set.of(), 8, false)));
    }

    private void apply(PlacementEvent event) {
        for (PlacementDecision decision : mCurrent.decider().decide(event, mNow)) {
            mOutput.append("    ").append(describe(decision)).append('\n');
        }
    }

    private String describe(PlacementDecision decision) {
        if (decision instanceof PlacementDecision.WritePlan write) {
            mCurrent.writes().add(write);
            Plan plan = write.plan();
            return "write plan %d term %s expecting %d: %s"
                    .formatted(
                            plan.number(),
                            plan.term(),
                            write.expected().value(),
                            plan.slots().stream().map(PlacementSession::describe).toList());
        }
        if (decision instanceof PlacementDecision.SendOrder send) {
            mCurrent.orders().add(send);
            return "send %s %s %s to %s token %s (%s)"
                    .formatted(
                            send.order().id(),
                            send.order().kind(),
                            send.order().subject(),
                            send.order().runner(),
                            send.order().token(),
                            send.reason());
        }
        return decision.toString();
    }

    private static String describe(Slot slot) {
        return slot.key() + " " + slot.state() + " " + slot.order().id();
    }

    private record Daemon(
            DefaultPlacementDecider decider,
            ArrayDeque<PlacementDecision.WritePlan> writes,
            ArrayDeque<PlacementDecision.SendOrder> orders) {
        Daemon(DefaultPlacementDecider decider) {
            this(decider, new ArrayDeque<>(), new ArrayDeque<>());
        }
    }
}
