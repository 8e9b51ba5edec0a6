package reeldeal.consensus;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import reeldeal.testing.EventDigest;

/**
 * Simulates a group of nodes on a network and disks whose behaviour is determined by one seed.
 * Messages are delayed, lost, duplicated and reordered; links are cut in one or both directions;
 * nodes crash and lose unflushed data; disks are slow; clocks jump; members change; leadership is
 * transferred. {@link SafetyChecks} run during every step, and at the end the clients' history is
 * checked for linearizability. A seed reproduces a run only while the order of the random draws
 * stays the same.
 */
final class ConsensusSimulation {
    private static final int MAX_CALLS = 90;
    private static final int MAX_MEMBERS = 7;
    private static final int TRACE_LINES = 40;
    private static final long CLIENT_TIMEOUT_MS = 400;

    private record Event(long time, long order, Runnable action) {}

    /** Identifies a read that is answered once the entries up to an index are applied. */
    private record ReadPosition(long index, long read) implements Comparable<ReadPosition> {
        @Override
        public int compareTo(ReadPosition other) {
            return Comparator.comparingLong(ReadPosition::index)
                    .thenComparingLong(ReadPosition::read)
                    .compare(this, other);
        }
    }

    private final class Node {
        final String id;
        final SimulatedDisk disk;
        RaftNode raft;
        private Map<String, String> state = new TreeMap<>();
        private long applied;
        private long incarnation;
        private final Map<Long, ClientCall> writes = new HashMap<>();
        private final Map<Long, ClientCall> reads = new HashMap<>();
        private final Map<ReadPosition, ClientCall> confirmedReads = new TreeMap<>();

        Node(String id, GroupConfiguration configuration) {
            this.id = id;
            this.disk = new SimulatedDisk(configuration);
        }

        boolean isRunning() {
            return raft != null;
        }

        boolean isLeader() {
            return raft.role() == RaftNode.Role.LEADER;
        }

        void start() {
            incarnation++;
            raft = new RaftNode(id, conditions.settings(), disk.contents(), random::nextInt, rules);
            state = decode(disk.snapshot().data().toBytes());
            applied = disk.snapshot().index();
            schedule(tickMs(), this::tick);
            step();
        }

        void startIfStopped() {
            if (!isRunning()) {
                start();
            }
        }

        private long tickMs() {
            return 9L + random.nextInt(3);
        }

        /** Schedules an action that is cancelled if the node crashes before it runs. */
        private void schedule(long delay, Runnable action) {
            long scheduledIn = incarnation;
            after(
                    delay,
                    () -> {
                        if (isRunning() && incarnation == scheduledIn) {
                            action.run();
                        }
                    });
        }

        private void tick() {
            int ticks =
                    conditions.clockJumps() && random.nextInt(400) == 0 ? random.nextInt(15) : 1;
            for (int i = 0; i < ticks; i++) {
                raft.tick();
            }
            step();
            boolean pause = conditions.clockJumps() && random.nextInt(400) == 0;
            schedule(pause ? 100 + random.nextInt(300) : tickMs(), this::tick);
        }

        /**
         * Stops the node. A random number of the queued disk requests, in order, still reaches the
         * disk.
         */
        void crash() {
            int queued = disk.queueLength();
            disk.crash(queued == 0 ? 0 : random.nextInt(queued + 1));
            raft = null;
            incarnation++;
            for (Map<?, ClientCall> calls : List.of(writes, reads, confirmedReads)) {
                calls.values().forEach(ClientCall::abandon);
                calls.clear();
            }
        }

        void propose(ClientCall call) {
            byte[] data = (call.key + " " + call.value).getBytes(StandardCharsets.UTF_8);
            long index = raft.propose(data);
            if (index < 0) {
                call.fail();
            } else {
                writes.put(index, call);
            }
            step();
        }

        void read(long number, ClientCall call) {
            reads.put(number, call);
            raft.read(number);
            step();
        }

        /** Carries out the node's output until it produces no more. */
        void step() {
            boolean hadOutput = true;
            while (hadOutput) {
                Ready ready = raft.takeReady();
                hadOutput = hasOutput(ready);
                carryOut(ready);
                if (isLeader()) {
                    checkLeader();
                } else {
                    writes.values().forEach(ClientCall::abandon);
                    writes.clear();
                }
            }
        }

        private static boolean hasOutput(Ready ready) {
            return !ready.persists.isEmpty()
                    || !ready.messages.isEmpty()
                    || ready.install() != null
                    || !ready.committed.isEmpty()
                    || !ready.reads.isEmpty()
                    || !ready.failedReads.isEmpty();
        }

        private void carryOut(Ready ready) {
            for (Ready.Persist request : ready.persists) {
                request.entries().forEach(entry -> safetyChecks.onEntry(id, raft, entry));
                if (disk.enqueue(request)) {
                    flush();
                }
            }
            ready.messages.forEach(ConsensusSimulation.this::send);
            if (ready.install() != null) {
                state = decode(ready.install().data().toBytes());
                applied = ready.install().index();
                safetyChecks.onInstall(id, applied, state);
            }
            ready.committed.forEach(this::apply);
            for (Ready.ReadReady read : ready.reads) {
                ClientCall call = reads.remove(read.readId());
                if (call != null) {
                    confirmedReads.put(new ReadPosition(read.index(), read.readId()), call);
                }
            }
            confirmedReads.entrySet().removeIf(read -> answerRead(read.getKey(), read.getValue()));
            for (long failed : ready.failedReads) {
                ClientCall call = reads.remove(failed);
                if (call != null) {
                    call.fail();
                }
            }
        }

        private boolean answerRead(ReadPosition position, ClientCall call) {
            if (position.index() > applied) {
                return false;
            }
            call.value = state.get(call.key);
            answer(call);
            return true;
        }

        private void flush() {
            boolean slow = conditions.slowDisks() && random.nextInt(20) == 0;
            schedule(
                    slow ? 50 + random.nextInt(150) : 1 + random.nextInt(4),
                    () -> {
                        raft.persisted(disk.writeNext());
                        if (disk.queueLength() > 0) {
                            flush();
                        }
                        step();
                    });
        }

        private void apply(Entry entry) {
            SafetyChecks.check(
                    entry.index() == applied + 1,
                    id + " applies entry " + entry.index() + " after " + applied);
            safetyChecks.onApply(id, raft, entry);
            applied = entry.index();
            digest.add(now + " " + id + " applies " + entry.index() + " of term " + entry.term());
            String text = new String(entry.data(), StandardCharsets.UTF_8);
            if (!text.isEmpty()) {
                String[] keyAndValue = text.split(" ");
                state = new TreeMap<>(state);
                state.put(keyAndValue[0], keyAndValue[1]);
            }
            safetyChecks.onState(applied, state);
            answerWrite(entry, text);
            if (applied - disk.snapshot().index() > conditions.rates().compactEvery()) {
                raft.compact(applied, SnapshotData.of(encode(state)));
            }
        }

        private void answerWrite(Entry entry, String text) {
            ClientCall call = writes.remove(entry.index());
            if (call == null) {
                return;
            }
            if (entry.term() == raft.term() && text.equals(call.key + " " + call.value)) {
                answer(call);
                raft.prioritizeCommitNotification("n" + entry.index() % nextNode, entry.index());
            } else {
                call.abandon();
            }
        }

        private void checkLeader() {
            if (!safetyChecks.onLeader(id, raft)) {
                return;
            }
            leadersSeen++;
            if (conditions.leaderStorm() && random.nextInt(5) > 0) {
                schedule(
                        1 + random.nextInt(60),
                        () -> {
                            crash();
                            after(50 + random.nextInt(600), this::startIfStopped);
                        });
            }
        }
    }

    private final UniformRandomProvider random;
    private final RaftRules rules;
    private final SimulatedConditions conditions;
    private final GroupConfiguration firstConfiguration;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::time).thenComparingLong(Event::order));
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final SafetyChecks safetyChecks = new SafetyChecks();
    private final ArrayDeque<String> trace = new ArrayDeque<>();
    private long now;
    private long nextOrder;
    private long nextRead = 1;
    private int nextNode;
    private int nextValue = 1;

    /** A digest of every delivery, fault, configuration change and applied entry. */
    final EventDigest digest = new EventDigest();

    /** The history of all client calls. */
    final List<ClientCall> calls = new ArrayList<>();

    /** How many terms have had a leader. */
    int leadersSeen;

    ConsensusSimulation(long seed, RaftRules rules) {
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        this.rules = rules;
        this.conditions = SimulatedConditions.draw(random);
        Set<String> voters = new TreeSet<>();
        for (int i = 0; i < conditions.voters(); i++) {
            voters.add("n" + nextNode++);
        }
        firstConfiguration = new GroupConfiguration(voters, Set.of());
        voters.forEach(voter -> nodes.put(voter, new Node(voter, firstConfiguration)));
        nodes.values().forEach(Node::start);
        for (int i = 0; i < 3; i++) {
            after(random.nextInt(50), this::startCall);
        }
        after(100, this::injectFault);
    }

    private void after(long delay, Runnable action) {
        events.add(new Event(now + delay, nextOrder++, action));
    }

    /** Runs for this many simulated ms and checks the history; returns the number of events. */
    long run(long durationMs) {
        long steps = 0;
        while (!events.isEmpty() && events.peek().time() <= durationMs) {
            Event event = events.poll();
            now = event.time();
            event.action().run();
            steps++;
        }
        for (String key : List.of("x", "y")) {
            List<ClientCall> history =
                    calls.stream()
                            .filter(call -> call.key.equals(key) && !call.failed)
                            .filter(call -> call.write || call.end != Long.MAX_VALUE)
                            .toList();
            SafetyChecks.check(
                    LinearizabilityChecker.check(history),
                    "not linearizable: " + key + " " + history);
        }
        return steps;
    }

    /** Returns the latest events, for a failure report. */
    List<String> trace() {
        return new ArrayList<>(trace);
    }

    private void recordEvent(String event) {
        digest.add(now + " " + event);
        addToTrace(event);
    }

    private void addToTrace(String event) {
        trace.add(now + " " + event);
        if (trace.size() > TRACE_LINES) {
            trace.poll();
        }
    }

    // ---- network ----

    private void send(Message message) {
        if (cutLinks.contains(message.from() + message.to())
                || random.nextInt(100) < conditions.rates().lossPercent()) {
            return;
        }
        int copies = random.nextInt(50) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean slow = random.nextInt(30) == 0;
            long delay =
                    slow
                            ? random.nextInt(conditions.longDelays() ? 1_500 : 200)
                            : 1 + random.nextInt(5);
            after(delay, () -> deliver(message));
        }
    }

    private void deliver(Message message) {
        Node node = nodes.get(message.to());
        if (node == null || !node.isRunning()) {
            return;
        }
        String event = message.from() + ">" + message.to() + " t" + message.term();
        digest.add(now + " " + event);
        addToTrace(message.getClass().getSimpleName() + " " + event);
        node.raft.receive(message);
        node.step();
    }

    // ---- clients ----

    private <T> T randomElement(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
    }

    private List<Node> running() {
        return nodes.values().stream().filter(Node::isRunning).toList();
    }

    private List<Node> leaders() {
        return running().stream().filter(Node::isLeader).toList();
    }

    /** Starts the next call of one client, usually to a leader. */
    private void startCall() {
        List<Node> running = running();
        List<Node> leaders = leaders();
        if (running.isEmpty() || calls.size() >= MAX_CALLS) {
            after(50, this::startCall);
            return;
        }
        boolean anyNode = leaders.isEmpty() || random.nextInt(10) == 0;
        Node node = randomElement(anyNode ? running : leaders);
        boolean write = random.nextBoolean();
        String key = random.nextBoolean() ? "x" : "y";
        ClientCall call =
                new ClientCall(write, key, write ? String.valueOf(nextValue++) : null, now);
        calls.add(call);
        after(1 + random.nextInt(5), () -> submit(node, call));
        awaitAnswer(call, now + CLIENT_TIMEOUT_MS);
    }

    private void submit(Node node, ClientCall call) {
        if (!node.isRunning()) {
            call.fail();
        } else if (call.write) {
            node.propose(call);
        } else {
            node.read(nextRead++, call);
        }
    }

    private void awaitAnswer(ClientCall call, long deadline) {
        after(
                20,
                () -> {
                    if (call.pending && now < deadline) {
                        awaitAnswer(call, deadline);
                    } else {
                        after(random.nextInt(30), this::startCall);
                    }
                });
    }

    private void answer(ClientCall call) {
        if (call.pending) {
            call.pending = false;
            after(1 + random.nextInt(5), () -> call.end = now);
        }
    }

    // ---- faults and operator actions ----

    /** Performs a random fault, repair or operator action, and schedules the next one. */
    private void injectFault() {
        switch (conditions.leaderStorm() ? 14 : random.nextInt(15)) {
            case 0, 1 -> crashRandomNode();
            case 2, 3, 4 -> startStoppedNodes();
            case 5 -> partition();
            case 6, 7 -> healLinks();
            case 8 -> withFirstLeader(this::transferLeadership);
            case 9, 10 -> leaders().forEach(this::changeMembers);
            case 11 -> withFirstLeader(this::isolateLeader);
            case 12, 13 -> withFirstLeader(this::restartLeader);
            default -> {}
        }
        after(
                conditions.longDelays() ? 5 + random.nextInt(100) : 30 + random.nextInt(250),
                this::injectFault);
    }

    private void withFirstLeader(Consumer<Node> fault) {
        leaders().stream().findFirst().ifPresent(fault);
    }

    private void crashRandomNode() {
        List<Node> running = running();
        if (!running.isEmpty()) {
            Node node = randomElement(running);
            recordEvent("crash " + node.id);
            node.crash();
        }
    }

    private void startStoppedNodes() {
        List<Node> stopped = nodes.values().stream().filter(n -> !n.isRunning()).toList();
        for (Node node : stopped) {
            recordEvent("start " + node.id);
            node.start();
        }
    }

    private void partition() {
        Set<String> isolatedNodes = new HashSet<>();
        nodes.keySet().stream().filter(id -> random.nextBoolean()).forEach(isolatedNodes::add);
        boolean oneWay = random.nextInt(3) == 0;
        recordEvent("cut " + isolatedNodes + (oneWay ? " one way" : ""));
        for (String from : nodes.keySet()) {
            for (String to : nodes.keySet()) {
                if (isolatedNodes.contains(from) && !isolatedNodes.contains(to)) {
                    cutLinks.add(from + to);
                    if (!oneWay) {
                        cutLinks.add(to + from);
                    }
                }
            }
        }
    }

    private void healLinks() {
        recordEvent("heal");
        cutLinks.clear();
    }

    private void isolateLeader(Node leader) {
        recordEvent("cut off the leader " + leader.id);
        for (String other : nodes.keySet()) {
            if (!other.equals(leader.id)) {
                cutLinks.add(leader.id + other);
                cutLinks.add(other + leader.id);
            }
        }
    }

    private void restartLeader(Node leader) {
        recordEvent("crash the leader " + leader.id);
        leader.crash();
        after(20 + random.nextInt(200), leader::startIfStopped);
    }

    private void transferLeadership(Node leader) {
        List<String> voters = new ArrayList<>(leader.raft.configuration().voters());
        leader.raft.transferLeadership(randomElement(voters));
        leader.step();
    }

    /**
     * Adds, promotes or removes a member. A removed node is never added again under the same name.
     */
    private void changeMembers(Node leader) {
        GroupConfiguration current = leader.raft.configuration();
        GroupConfiguration proposed;
        if (!current.learners().isEmpty() && random.nextBoolean()) {
            proposed = current.withVoter(current.learners().iterator().next());
        } else if (current.voters().size() > 3 && random.nextBoolean()) {
            proposed = current.without(randomElement(new ArrayList<>(current.voters())));
        } else if (current.all().size() < MAX_MEMBERS) {
            proposed = withNewNode(current);
        } else {
            return;
        }
        recordEvent(
                "members " + new TreeSet<>(proposed.voters()) + new TreeSet<>(proposed.learners()));
        leader.raft.changeConfiguration(proposed);
        leader.step();
    }

    private GroupConfiguration withNewNode(GroupConfiguration current) {
        String id = "n" + nextNode++;
        Node node = new Node(id, firstConfiguration);
        nodes.put(id, node);
        node.start();
        GroupConfiguration proposed =
                random.nextBoolean() ? current.withLearner(id) : current.withVoter(id);
        if (random.nextBoolean() && current.voters().size() > 2) {
            // Proposes a change of two voters, which a correct node rejects.
            String removed = randomElement(new ArrayList<>(current.voters()));
            return current.withVoter(id).without(removed);
        }
        return proposed;
    }

    private static byte[] encode(Map<String, String> state) {
        StringBuilder text = new StringBuilder();
        state.forEach((k, v) -> text.append(k).append(' ').append(v).append('\n'));
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static Map<String, String> decode(byte[] data) {
        Map<String, String> state = new TreeMap<>();
        Arrays.stream(new String(data, StandardCharsets.UTF_8).split("\n"))
                .filter(line -> !line.isEmpty())
                .forEach(line -> state.put(line.split(" ")[0], line.split(" ")[1]));
        return state;
    }
}
