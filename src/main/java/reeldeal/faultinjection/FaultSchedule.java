package reeldeal.faultinjection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Stream;
import reeldeal.fleet.FormAttributes;

/** Runs each action of a scenario at its time. Used only by the thread of the scenario. */
final class FaultSchedule {
    private static final int AWAIT_MS = 60_000;
    private static final int RESTART_DELAY_MS = 500;
    private static final int SHORTEST_OUTAGE_MS = 200;
    private static final int RAISED_LOAD_MS = 10_000;
    private static final String MINORITY = "minority";

    private final Scenario scenario;
    private final Path folder;
    private final ProcessFleet fleet;
    private final SearcherFleet searchers;
    private final OperatorConsole console;
    private final Supervisor supervisor;
    private final Programs programs;
    private final SplittableRandom random;
    private final History history;
    private final List<Scenario.Action> pending;

    /**
     * Schedules a scenario's actions.
     *
     * @param folder the parent of the nodes' data directories
     * @param context the fleet and the tools that operate it
     */
    FaultSchedule(
            Scenario scenario,
            Path folder,
            Context context,
            SplittableRandom random,
            History history) {
        this.scenario = scenario;
        this.folder = folder;
        this.fleet = context.fleet();
        this.searchers = context.searchers();
        this.console = context.console();
        this.supervisor = context.supervisor();
        this.programs = context.programs();
        this.random = random;
        this.history = history;
        pending = new ArrayList<>(scenario.faults().actions());
    }

    /** The parts of a scenario on which actions act. */
    record Context(
            ProcessFleet fleet,
            SearcherFleet searchers,
            OperatorConsole console,
            Supervisor supervisor,
            Programs programs) {}

    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Runs the actions that are due at a time, given in ms since the fault phase began. */
    void runDue(long elapsedMs) throws Exception {
        for (Scenario.Action action : List.copyOf(pending)) {
            if (elapsedMs >= action.atMs()) {
                pending.remove(action);
                run(action);
            }
        }
    }

    private void run(Scenario.Action action) throws Exception {
        switch (action.kind()) {
            case ORDER -> order(action.target());
            case POWER, TORN -> losePower(action);
            case FORGET -> searchers.forgetKeys(random);
            case ZONE -> updateZone(action.target().split(" "));
            default -> {
                for (BrokerProcess broker : select(action.target())) {
                    run(action, broker);
                }
            }
        }
    }

    private void run(Scenario.Action action, BrokerProcess broker) throws Exception {
        switch (action.kind()) {
            case KILL -> {
                broker.kill();
                fleet.restartAfter(broker, outageMs(action));
            }
            case TERMINATE -> broker.terminate();
            case KEEP, OLDER, FLIP -> damageDirectory(broker, action.kind());
            case REBUILD -> rebuild(broker);
            case AHEAD -> shiftClock(broker, action, action.durationMs());
            case BEHIND -> shiftClock(broker, action, -action.durationMs());
            case FILL -> fillDisk(broker, action.durationMs());
            case PAUSE -> {
                broker.pause();
                fleet.healAfter(broker, action.durationMs());
            }
            case CUT, DEAFEN -> {
                history.add(broker.name, action.kind().key(), "");
                fleet.partition(broker.name, true, action.kind() == FaultKind.DEAFEN);
                fleet.healAfter(broker, action.durationMs());
            }
            default ->
                    throw new IllegalStateException(
                            "fault kind does not apply to a single node: " + action.kind());
        }
    }

    private long outageMs(Scenario.Action action) {
        return action.target().equals(MINORITY)
                ? SHORTEST_OUTAGE_MS + random.nextLong(Math.max(1, action.durationMs()))
                : action.durationMs();
    }

    private void order(String text) {
        String searcher = FormAttributes.of(text).get("name").split("\\.")[0];
        if (text.startsWith("fleet undrain")) {
            history.add(
                    searcher,
                    "undrained",
                    ""); // recorded before the order: requests may arrive as soon as it is given
        }
        if (console.order(text) && text.startsWith("fleet drain")) {
            history.add(searcher, "drained", "");
        }
    }

    private void shiftClock(BrokerProcess broker, Scenario.Action action, long offsetMs) {
        history.add(broker.name, action.kind().key(), action.durationMs() + " ms");
        broker.shiftWallClock(offsetMs);
    }

    private void fillDisk(BrokerProcess broker, long durationMs) throws Exception {
        long maxKb = largestFile(folder.resolve(broker.name)) / 1_024 + 1;
        history.add(broker.name, "fill", "no file beyond " + maxKb + " KB");
        broker.limitFileSize((int) maxKb);
        broker.kill();
        fleet.restartAfter(broker, 0);
        fleet.healAfter(broker, durationMs);
    }

    private static long largestFile(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.mapToLong(f -> f.toFile().length()).max().orElse(0);
        }
    }

    // ---- power loss ----

    private void losePower(Scenario.Action action) throws Exception {
        String zone = action.target().matches("[ab]") ? action.target() : "";
        history.add("drill", "power", "zone=" + zone);
        Set<String> lateVoters = lateVoters(action.lateMs());
        for (BrokerProcess broker : fleet.brokers()) {
            if (zone.isEmpty() || zone.equals(ProcessFleet.zoneOf(broker.name))) {
                if (broker.isAlive()) {
                    broker.kill();
                }
                fleet.cancelHealing(broker);
                if (action.kind() == FaultKind.TORN) {
                    DiskFaults.tear(folder.resolve(broker.name), random, history);
                }
                long outageMs =
                        SHORTEST_OUTAGE_MS + random.nextLong(Math.max(1, action.durationMs()));
                fleet.restartAfter(
                        broker,
                        outageMs + (lateVoters.contains(broker.name) ? action.lateMs() : 0));
            }
        }
        searchers.losePower(zone, action.durationMs(), random);
        supervisor.raiseLoad(scenario.power().loadFactor(), RAISED_LOAD_MS);
    }

    /** Returns a random majority of the voters if some are to restart late, else an empty set. */
    private Set<String> lateVoters(long lateMs) {
        List<String> shuffled = shuffled(new TreeSet<>(fleet.voters()));
        return lateMs == 0 ? Set.of() : Set.copyOf(shuffled.subList(0, shuffled.size() / 2 + 1));
    }

    private <T> List<T> shuffled(Iterable<T> items) {
        List<T> shuffled = new ArrayList<>();
        items.forEach(shuffled::add);
        Collections.shuffle(shuffled, new Random(random.nextLong()));
        return shuffled;
    }

    // ---- data directories ----

    private void damageDirectory(BrokerProcess broker, FaultKind kind) throws Exception {
        if (broker.isAlive()) {
            broker.kill();
        }
        Path directory = folder.resolve(broker.name);
        history.add(broker.name, kind.key(), "");
        switch (kind) {
            case KEEP -> DiskFaults.backUp(directory);
            case OLDER -> DiskFaults.restore(directory);
            default -> DiskFaults.flip(directory, random, history);
        }
        fleet.restartAfterIfUnscheduled(broker, RESTART_DELAY_MS);
    }

    /**
     * Replaces a node whose data directory cannot be trusted by a spare with an empty directory,
     * with the commands that operators use.
     */
    private void rebuild(BrokerProcess retired) throws Exception {
        boolean wasVoter = fleet.isVoter(retired);
        BrokerProcess spare = fleet.replace(retired);
        console.require("store add " + spare.name + " 127.0.0.1:" + spare.storePort);
        spare.start();
        supervisor.await(
                AWAIT_MS,
                spare.name + " is serving as the replacement",
                () -> isServing(spare.name));
        console.require(
                wasVoter
                        ? "store replace " + retired.name + " " + spare.name
                        : "store remove " + retired.name);
        if (wasVoter) {
            fleet.transferVote(retired, spare);
        }
        FormAttributes forgetAttributes =
                new FormAttributes()
                        .with("name", retired.name)
                        .with("kind", "broker")
                        .with("reason", "rebuilt");
        supervisor.await(
                AWAIT_MS,
                retired.name + ": the order to forget the broker is accepted",
                () -> console.order("fleet forget " + forgetAttributes));
    }

    private boolean isServing(String node) {
        return console.list("fleet members").stream()
                .anyMatch(m -> m.get("name").equals(node) && m.get("state").equals("serving"));
    }

    // ---- zone updates ----

    /**
     * Sends a zone update to a node, or to a random one of those that a target selects. The
     * arguments are {@code NODE add|delete SEARCHER}.
     */
    private void updateZone(String[] arguments) throws Exception {
        List<BrokerProcess> selected = select(arguments[0]);
        if (selected.isEmpty()) {
            return;
        }
        BrokerProcess broker = selected.get(0);
        boolean isAdd = arguments[1].equals("add");
        String searcher = arguments[2];
        int port = searchers.port(Integer.parseInt(searcher.substring(1)));
        String record =
                "_searcher._tcp " + (isAdd ? "60 " : "") + "SRV 0 0 " + port + " " + searcher;
        if (isAdd) {
            history.add(searcher, "undrained", "");
        }
        history.add(
                "operator",
                "order",
                "zone update at " + broker.name + ": " + arguments[1] + " " + record);
        List<String> command =
                List.of(
                        "zone",
                        "update",
                        "-s",
                        "127.0.0.1:" + broker.dnsPort,
                        NodeFiles.ORIGIN,
                        "--" + arguments[1],
                        record);
        boolean succeeded = BrokerProcess.runCommand(programs.rolledOutCommand(), command, history);
        if (succeeded && arguments[1].equals("delete")) {
            history.add(searcher, "drained", "");
        }
    }

    // ---- targets of an action ----

    private List<BrokerProcess> select(String target) {
        if (fleet.broker(target) != null) {
            return List.of(fleet.broker(target));
        }
        List<BrokerProcess> running =
                fleet.brokers().stream().filter(b -> b.isAlive() && !b.isPaused()).toList();
        List<BrokerProcess> candidates = candidates(target, running);
        if (candidates.isEmpty()) {
            return List.of();
        }
        return switch (target) {
            case "seven" -> selectSevenInTen(candidates, running);
            case MINORITY -> selectMinority(candidates);
            case "third" ->
                    shuffled(candidates).subList(0, Math.max(1, fleet.brokers().size() / 3));
            default -> List.of(candidates.get(random.nextInt(candidates.size())));
        };
    }

    private List<BrokerProcess> candidates(String target, List<BrokerProcess> running) {
        return switch (target) {
            case "leader" -> {
                String leader = console.leader();
                yield running.stream().filter(b -> b.name.equals(leader)).toList();
            }
            case "voter", MINORITY -> running.stream().filter(fleet::isVoter).toList();
            case "broker", "third", "seven" ->
                    running.stream().filter(b -> !fleet.isVoter(b)).toList();
            case "leaving" -> {
                Set<String> leaving = leavingMembers();
                yield running.stream().filter(b -> leaving.contains(b.name)).toList();
            }
            default -> running;
        };
    }

    private Set<String> leavingMembers() {
        Set<String> leaving = new HashSet<>();
        for (FormAttributes step : console.list("fleet release show")) {
            if (step.get("stage").matches("drain|restart")) {
                leaving.add(step.get("name"));
            }
        }
        return leaving;
    }

    /** Returns at least one voter, unless a majority would not be left running. */
    private List<BrokerProcess> selectMinority(List<BrokerProcess> runningVoters) {
        int majority = fleet.voters().size() / 2 + 1;
        int most = runningVoters.size() - majority;
        return most < 1 ? List.of() : shuffled(runningVoters).subList(0, 1 + random.nextInt(most));
    }

    private List<BrokerProcess> selectSevenInTen(
            List<BrokerProcess> learners, List<BrokerProcess> running) {
        List<BrokerProcess> shuffled = shuffled(learners);
        int count = Math.min(shuffled.size(), fleet.brokers().size() * 7 / 10 - 1);
        List<BrokerProcess> selected = new ArrayList<>(shuffled.subList(0, count));
        running.stream().filter(fleet::isVoter).findFirst().ifPresent(selected::add);
        return selected;
    }
}
