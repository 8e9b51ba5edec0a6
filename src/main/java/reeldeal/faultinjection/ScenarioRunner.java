package reeldeal.faultinjection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import reeldeal.fleet.DisruptionPolicy;
import reeldeal.fleet.FormAttributes;

/**
 * Runs one scenario with one seed and leaves a folder with the history, the report and the nodes'
 * files. Used by a single thread. Clients, searchers and proxies have their own threads and write
 * to the {@link History}.
 */
public final class ScenarioRunner implements AutoCloseable {
    private static final int START_TIMEOUT_MS = 60_000;
    private static final int ROLLOUT_TIMEOUT_MS = 240_000;
    private static final int SETTLE_MS = 2_000;
    private static final int SHARD_COUNT = 12;
    private static final int CLIENT_COUNT = 8;
    private static final int REPORT_TIMEOUT_MS = 5_000;
    private static final String HISTORY = "history.txt";
    private static final String AUDIT_CLASS_KEY = "classes.audit-report";

    /**
     * The result of a scenario.
     *
     * @param violations the violated invariants, empty if all hold
     * @param figures the counted figures by name
     * @param folder the folder with the history, the report and the nodes' files
     */
    public record Result(List<String> violations, Map<String, String> figures, Path folder) {}

    private final Scenario scenario;
    private final Path folder;
    private final SplittableRandom random;
    private final History history;
    private final SearcherFleet searchers;
    private final ProcessFleet fleet;
    private final OperatorConsole console;
    private final Supervisor supervisor;
    private final RolloutScript rollout;
    private final FaultSchedule schedule;
    private LoadGenerator load;
    private IdempotentLoadGenerator keyedLoad;

    /**
     * Creates the runner of a scenario without starting the fleet.
     *
     * @param jar the program, or null for the class path of this JVM
     * @param initialJar the program that the fleet starts with if the rollout installs {@code jar},
     *     else null
     */
    public ScenarioRunner(Scenario scenario, long seed, Path folder, Path jar, Path initialJar)
            throws IOException {
        this.scenario = scenario;
        this.folder = folder;
        random = new SplittableRandom(seed);
        Files.createDirectories(folder);
        history = new History(folder.resolve(HISTORY));
        history.add("drill", "scenario", scenario.name() + " seed=" + seed);
        searchers = new SearcherFleet(scenario, random, history);
        List<String> voters =
                ProcessFleet.nodeNames(scenario).subList(0, scenario.fleet().voters());
        NodeFiles files = new NodeFiles(folder, scenario, voters);
        files.writeZone(searchers.zoneRecords());
        files.writeBrokerConfig();
        Programs programs = new Programs(jar, initialJar);
        fleet = new ProcessFleet(scenario, files, programs.initialCommand(), random, history);
        console = new OperatorConsole(fleet, history);
        supervisor = new Supervisor(fleet, searchers, console, programs, history);
        rollout = new RolloutScript(scenario.rollout(), files, programs, console, history);
        FaultSchedule.Context context =
                new FaultSchedule.Context(fleet, searchers, console, supervisor, programs);
        schedule = new FaultSchedule(scenario, folder, context, random, history);
    }

    /** Runs the scenario to its end, checks the invariants and writes the report. */
    public Result run() throws Exception {
        fleet.start();
        supervisor.await(START_TIMEOUT_MS, "all brokers are serving", this::isFleetServing);
        setPolicy();
        startLoad();
        Thread.sleep(SETTLE_MS);
        if (scenario.rollout().enabled()) {
            rollout.start();
        }
        injectFaults();
        awaitRecovery();
        if (scenario.rollout().enabled()) {
            supervisor.await(ROLLOUT_TIMEOUT_MS, "the rollout is done", rollout::driveToEnd);
        }
        finish();
        history.close();
        return check(folder, scenario.name());
    }

    /** Checks again the history that a scenario has left in a folder, and rewrites its report. */
    public static Result check(Path folder) throws IOException {
        return check(folder, folder.getFileName().toString());
    }

    private static Result check(Path folder, String name) throws IOException {
        List<History.Event> events = History.read(folder.resolve(HISTORY));
        InvariantChecker.Verdict verdict = InvariantChecker.check(events);
        ScenarioReport.write(folder, "Drill " + name, events, verdict);
        return new Result(verdict.violations(), verdict.figures(), folder);
    }

    private boolean isFleetServing() {
        long serving =
                console.list("fleet members").stream()
                        .filter(m -> m.get("state").equals("serving"))
                        .count();
        return serving == fleet.brokers().size();
    }

    private void setPolicy() {
        FormAttributes policy =
                new FormAttributes().with("brokers_out", "1").with("apart_ms", "200");
        scenario.policy().forEach(policy::with);
        console.order("fleet policy " + policy);
        long brokersOut =
                DisruptionPolicy.resolveLimit(policy.get("brokers_out"), fleet.brokers().size());
        history.add("operator", "policy", String.valueOf(brokersOut));
        history.add("operator", "steps", scenario.power().recoverySteps());
        history.add("operator", "mode", scenario.load().keyed().takeover().toString());
    }

    private void startLoad() {
        boolean modelsPowerLoss = scenario.power().enabled();
        load =
                new LoadGenerator(
                        List.copyOf(fleet.brokers()),
                        SHARD_COUNT,
                        scenario.load().queriesPerSecond(),
                        modelsPowerLoss ? 2 * CLIENT_COUNT : CLIENT_COUNT,
                        modelsPowerLoss,
                        history);
        supervisor.supervise(load);
        Scenario.KeyedRequests keyed = scenario.load().keyed();
        if (keyed.perSecond() > 0) {
            keyedLoad =
                    new IdempotentLoadGenerator(
                            load::healthy,
                            SHARD_COUNT,
                            keyed.perSecond(),
                            keyed.takeover().containsKey(AUDIT_CLASS_KEY),
                            random.nextLong(),
                            history);
        }
    }

    private void injectFaults() throws Exception {
        long startMs = history.elapsedMs();
        fleet.inject(scenario.faults().frames());
        while (!schedule.isEmpty() || faultPhaseContinues(history.elapsedMs() - startMs)) {
            schedule.runDue(history.elapsedMs() - startMs);
            supervisor.supervise();
            rollout.observe();
            Thread.sleep(Supervisor.POLL_MS / 2);
        }
        fleet.inject(Scenario.FrameFaults.NONE);
        if (!scenario.load().keyed().failpoints().isEmpty()) {
            fleet.disableFailpoints();
        }
    }

    private boolean faultPhaseContinues(long elapsedMs) {
        boolean rolloutDone = scenario.rollout().enabled() && rollout.isDone();
        return elapsedMs < scenario.faults().durationMs() && !rolloutDone;
    }

    private void awaitRecovery() throws Exception {
        supervisor.await(
                START_TIMEOUT_MS,
                "all stopped, paused and partitioned processes are restored",
                () -> {
                    rollout.observe();
                    return fleet.isHealed() && searchers.isHealed();
                });
    }

    // ---- end of the scenario ----

    private void finish() throws Exception {
        supervisor.await(
                START_TIMEOUT_MS,
                "all brokers are serving and hold no permit at the end",
                this::isFleetUndisturbed);
        supervisor.await(
                START_TIMEOUT_MS,
                "the recovery after the power loss has ended",
                this::isRecoveryOver);
        for (FormAttributes member : console.list("fleet members")) {
            history.add(
                    member.get("name"),
                    "final",
                    "state=" + member.get("state") + " is=" + rollout.versionOf(member));
        }
        if (keyedLoad != null) {
            keyedLoad.close();
            recordRequestRecords();
        }
        load.close();
        history.add("drill", "frames", fleet.frameCounts());
        for (BrokerProcess broker : fleet.brokers()) {
            String role = fleet.isVoter(broker) ? "voter " : "learner ";
            history.add(broker.name, "cost", role + broker.resourceUsage());
            broker.close();
        }
        recordCommits();
    }

    private boolean isFleetUndisturbed() {
        List<FormAttributes> members = console.list("fleet members");
        boolean allServe = members.stream().allMatch(m -> m.get("state").equals("serving"));
        boolean noPermits =
                console.list("fleet permits").stream()
                        .noneMatch(p -> p.get("kind").equals("broker"));
        return members.size() == fleet.brokers().size() && allServe && noPermits;
    }

    private boolean isRecoveryOver() {
        // The request is refused, so the list is empty, if no recovery steps are configured.
        List<FormAttributes> recovery = console.list("fleet recovery show");
        return recovery.isEmpty() || !recovery.get(0).get("ended").equals("false");
    }

    private void recordRequestRecords() {
        for (BrokerProcess broker : fleet.brokers()) {
            try {
                history.add(broker.name, "work", console.ask(broker, "work", REPORT_TIMEOUT_MS));
            } catch (IOException e) {
                history.add(broker.name, "work", "not told: " + e.getMessage());
            }
        }
    }

    /** Adds to the history the commits of the voter whose log holds the most commits. */
    private void recordCommits() throws IOException {
        List<String> longest = new ArrayList<>();
        for (String voter : fleet.voters()) {
            String identity = NodeFiles.GROUP + " " + voter;
            List<String> commits = CommitLogReader.commits(folder.resolve(voter), identity, voter);
            if (commits.size() > longest.size()) {
                longest = commits;
            }
        }
        longest.forEach(commit -> history.add("log", "commit", commit));
    }

    @Override
    public void close() throws Exception {
        fleet.close();
        searchers.close();
        history.close();
    }
}
