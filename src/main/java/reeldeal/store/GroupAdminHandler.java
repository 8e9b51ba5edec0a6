package reeldeal.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reeldeal.consensus.GroupConfiguration;
import reeldeal.consensus.MembershipChangeRules;
import reeldeal.consensus.RaftNode;

/**
 * Handles operators' requests about the group itself: its members, and its feature level, which
 * determines the commands and rules that its log may contain. Belongs to the event loop.
 */
final class GroupAdminHandler {
    /**
     * The key of the feature level of the program that created the group; absent if that was level
     * 1.
     */
    private static final String INITIAL_LEVEL_KEY = "feature/fresh";

    private static final int RAISE_RETRY_MS = 200;
    private static final int COMMIT_POLL_MS = 50;
    private static final int COMMIT_TIMEOUT_MS = 5_000;
    private static final int MAX_PORT = 65_535;
    private static final String USAGE =
            "expected store nodes, level [raise], memory, add NAME ADDRESS, promote, demote or remove NAME,"
                    + " replace OLD NEW";

    private final StoreNode store;
    private final Consumer<String> log;

    GroupAdminHandler(StoreNode store, Consumer<String> log) {
        this.store = store;
        this.log = log;
    }

    // ---- level ----

    /**
     * Raises the level of a new group once this node leads it. A group that was created by this
     * version of the program contains no earlier version, so its level is raised as soon as all
     * nodes have announced theirs. A group that an earlier version created keeps its level until
     * operators raise it, since raising it makes a rollback impossible.
     */
    void onLeading() {
        if (store.version() == 1) {
            store.write(
                    List.of(new Change(INITIAL_LEVEL_KEY, String.valueOf(PeerMessage.LEVEL))),
                    result -> {});
        }
        raiseIfNewGroup();
    }

    private void raiseIfNewGroup() {
        if (!store.acceptsWrites() || store.level() >= PeerMessage.LEVEL) {
            return;
        }
        boolean isNewGroup = store.value(INITIAL_LEVEL_KEY) != null;
        if (isNewGroup && nodesBelowLevel().isEmpty()) {
            raiseLevel(result -> {});
        } else if (isNewGroup || store.version() <= 2) {
            store.schedule(RAISE_RETRY_MS, this::raiseIfNewGroup);
        }
    }

    private void raiseLevel(Consumer<StoreNode.Result> callback) {
        String key = KeyValueState.LEVEL_KEY;
        store.write(
                new KeyValueState.Command(
                        "",
                        0,
                        List.of(new KeyValueState.Precondition(key, store.versionOf(key))),
                        List.of(new Change(key, String.valueOf(PeerMessage.LEVEL)))),
                callback);
    }

    /** Returns the members that have not announced the level of this program. */
    private Set<String> nodesBelowLevel() {
        Set<String> nodes = new TreeSet<>(store.configuration().all());
        nodes.removeIf(node -> store.levelOf(node) >= PeerMessage.LEVEL);
        return nodes;
    }

    // ---- requests ----

    /** Answers one request, whose first word is {@code store}. */
    void handle(String requestText, AdminReply reply) {
        String[] tokens = requestText.trim().split(" +", -1);
        String subcommand = tokens.length > 1 ? tokens[1] : "";
        if (subcommand.equals("nodes") && tokens.length == 2) {
            describeNodes(reply);
        } else if (subcommand.equals("level") && tokens.length == 2) {
            describeLevel(reply);
        } else if (subcommand.equals("memory") && tokens.length == 2) {
            reply.answer(store.memory().describe());
        } else if (!store.acceptsWrites()) {
            reply.redirect();
        } else if (subcommand.equals("level") && tokens.length == 3 && tokens[2].equals("raise")) {
            raiseLevel(reply);
        } else if (subcommand.equals("add") && tokens.length == 4) {
            add(tokens[2], tokens[3], reply);
        } else if (subcommand.equals("replace") && tokens.length == 4) {
            replace(tokens[2], tokens[3], reply);
        } else if (subcommand.equals("promote") && tokens.length == 3) {
            change(
                    MembershipChangeRules.Change.PROMOTE,
                    tokens[2],
                    reply,
                    () -> reply.answer("promoted " + tokens[2]));
        } else if (subcommand.equals("demote") && tokens.length == 3) {
            change(
                    MembershipChangeRules.Change.DEMOTE,
                    tokens[2],
                    reply,
                    () -> reply.answer("demoted " + tokens[2]));
        } else if (subcommand.equals("remove") && tokens.length == 3) {
            change(
                    MembershipChangeRules.Change.REMOVE,
                    tokens[2],
                    reply,
                    () -> removeAddress(tokens[2], reply));
        } else {
            reply.reject(USAGE);
        }
    }

    private void describeNodes(AdminReply reply) {
        List<String> lines = new ArrayList<>();
        GroupConfiguration configuration = store.configuration();
        for (String node : configuration.all()) {
            lines.add(
                    node
                            + " "
                            + (configuration.voters().contains(node) ? "voter" : "learner")
                            + " "
                            + store.addressOf(node)
                            + " level="
                            + store.levelOf(node)
                            + describeProgress(node)
                            + (node.equals(store.leader()) ? " leads" : ""));
        }
        lines.add(
                "version "
                        + store.version()
                        + (store.isCurrent() ? "" : ", not current")
                        + ", told by "
                        + store.node());
        reply.answer(String.join("\n", lines));
    }

    private String describeProgress(String node) {
        if (!store.acceptsWrites()) {
            return "";
        }
        RaftNode.NodeProgress progress = store.progressOf(node);
        return progress.reachable() ? " heard behind=" + progress.entriesBehind() : " silent";
    }

    private void describeLevel(AdminReply reply) {
        Set<String> nodesBelow = nodesBelowLevel();
        reply.answer(
                "level "
                        + store.level()
                        + ", this program knows "
                        + PeerMessage.LEVEL
                        + (nodesBelow.isEmpty()
                                ? "; all nodes do"
                                : "; not told by " + String.join(" ", nodesBelow)));
    }

    private void raiseLevel(AdminReply reply) {
        Set<String> nodesBelow = nodesBelowLevel();
        if (store.level() >= PeerMessage.LEVEL) {
            reply.answer("level " + store.level() + " holds already");
        } else if (!nodesBelow.isEmpty()) {
            reply.reject(
                    "not all nodes know level "
                            + PeerMessage.LEVEL
                            + ": "
                            + String.join(" ", nodesBelow));
        } else {
            String successText =
                    "level " + PeerMessage.LEVEL + "; no earlier program can take part from now on";
            raiseLevel(result -> answer(reply, result, successText));
        }
    }

    /**
     * Adds a learner. Its address is committed before the membership change, so that a later leader
     * can connect to the node as well.
     */
    private void add(String node, String address, AdminReply reply) {
        if (!isValid(node, address)) {
            reply.reject(
                    "expected a node's name and its loopback address, found "
                            + node
                            + " "
                            + address);
            return;
        }
        store.write(
                List.of(new Change(StoreNode.NODE_KEY_PREFIX + node, address)),
                result -> {
                    if (result instanceof StoreNode.Committed) {
                        change(
                                MembershipChangeRules.Change.ADD,
                                node,
                                reply,
                                () -> reply.answer(node + " follows the log from now on"));
                    } else {
                        answer(reply, result, "");
                    }
                });
    }

    private static boolean isValid(String node, String address) {
        return node.matches("[A-Za-z0-9_.-]{1,64}")
                && address.matches("127\\.[0-9.]+:[0-9]{1,5}")
                && Integer.parseInt(address.substring(address.indexOf(':') + 1)) <= MAX_PORT;
    }

    private void replace(String removed, String promoted, AdminReply reply) {
        Runnable done = () -> reply.answer(promoted + " votes in the place of " + removed);
        change(
                MembershipChangeRules.Change.PROMOTE,
                promoted,
                reply,
                () -> change(MembershipChangeRules.Change.REMOVE, removed, reply, done));
    }

    private void removeAddress(String node, AdminReply reply) {
        String successText = "removed " + node;
        if (store.value(StoreNode.NODE_KEY_PREFIX + node) == null) {
            reply.answer(successText);
        } else {
            store.write(
                    List.of(new Change(StoreNode.NODE_KEY_PREFIX + node, null)),
                    result -> answer(reply, result, successText));
        }
    }

    // ---- membership changes ----

    private void change(
            MembershipChangeRules.Change change,
            String node,
            AdminReply reply,
            Runnable whenCommitted) {
        MembershipChangeRules.Decision decision =
                MembershipChangeRules.evaluate(
                        store.configuration(), change, node, store::progressOf);
        if (decision.rejection() != null) {
            reply.reject("not done: " + decision.rejection());
        } else if (!store.changeConfiguration(decision.configuration())) {
            reply.reject(
                    "not done: the last change is not committed yet, or this node has just begun to"
                            + " lead; try again");
        } else {
            log.accept(
                    "store: changing the group's members: "
                            + change.name().toLowerCase(Locale.ROOT)
                            + " "
                            + node);
            long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(COMMIT_TIMEOUT_MS);
            awaitCommit(decision.configuration(), deadline, reply, whenCommitted);
        }
    }

    private void awaitCommit(
            GroupConfiguration proposed,
            long deadlineNanos,
            AdminReply reply,
            Runnable whenCommitted) {
        if (store.isConfigurationCommitted() && store.configuration().equals(proposed)) {
            whenCommitted.run();
        } else if (System.nanoTime() > deadlineNanos) {
            reply.reject("unknown: begun, but no majority has it yet; see store nodes");
        } else {
            store.schedule(
                    COMMIT_POLL_MS,
                    () -> awaitCommit(proposed, deadlineNanos, reply, whenCommitted));
        }
    }

    private static void answer(AdminReply reply, StoreNode.Result result, String successText) {
        if (result instanceof StoreNode.Committed) {
            reply.answer(successText);
        } else if (result instanceof StoreNode.Rejected rejected) {
            reply.reject("not done: " + rejected.reason());
        } else {
            reply.reject("unknown: begun, but no majority has it yet");
        }
    }
}
