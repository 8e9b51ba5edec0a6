package reeldeal.fleet.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FormAttributes;
import reeldeal.fleet.leader.AdminRequestHandler;
import reeldeal.fleet.leader.AdminResult;
import reeldeal.fleet.leader.RecoveryOrder;
import reeldeal.fleet.recovery.Epoch;
import reeldeal.store.StoreNode;

/**
 * Operators' requests that begin with {@code fleet}: decides them on this node's copy, writes what
 * results, and answers once it is committed. Used on the state loop.
 */
final class FleetAdminEndpoint {
    private static final String PREFIX = "fleet";
    private static final String RECOVERY = "recovery";
    private static final int MAX_ATTEMPTS = 5;
    private static final int RETRY_MS = 100;
    private static final int MAX_APPLY_WAIT_MS = 2_000;
    private static final int APPLY_POLL_MS = 10;

    /** This node, as the requests need it. */
    interface Node {
        /** The fleet as this node has last read it. */
        FleetView searchers();

        /** The fleet by all that this node has applied by now, its own writes included. */
        FleetView refreshedFleet();

        /** One line for {@code fleet self}. */
        String describe();
    }

    private final EventLoop loop;
    private final StoreNode store;
    private final Consumer<String> log;
    private final AdminRequestHandler handler;
    private final FleetLeadership leadership;
    private final RecoveryProgress recovery;
    private final Node node;

    /** {@code recovery} is null where the fleet has no recovery plan. */
    FleetAdminEndpoint(
            EventLoop loop,
            StoreNode store,
            Consumer<String> log,
            AdminRequestHandler handler,
            FleetLeadership leadership,
            RecoveryProgress recovery,
            Node node) {
        this.loop = loop;
        this.store = store;
        this.log = log;
        this.handler = handler;
        this.leadership = leadership;
        this.recovery = recovery;
        this.node = node;
    }

    /** Answers a request, the word {@code fleet} included. */
    void handle(String text, StoreNode.AdminReply reply) {
        String request = text.substring(PREFIX.length()).trim();
        if (request.startsWith(RECOVERY)) {
            handleRecovery(request.substring(RECOVERY.length()).trim(), reply);
        } else if (request.equals("self")) {
            reply.answer(node.describe());
        } else {
            handle(request, reply, MAX_ATTEMPTS);
        }
    }

    private void handle(String request, StoreNode.AdminReply reply, int attemptsLeft) {
        FleetView fleet = node.refreshedFleet();
        long now = FleetClock.nowMs();
        AdminResult result =
                handler.handle(
                        request,
                        fleet,
                        leadership.observations(now),
                        member -> leadership.silenceMs(member, now));
        if (result instanceof AdminResult.Rejection rejection) {
            reply.reject(rejection.reason());
        } else if (result instanceof AdminResult.Answer answer) {
            reply.answer(answer.text());
        } else if (result instanceof AdminResult.Write write) {
            StoreWrites.submit(
                    store,
                    write.write(),
                    outcome -> {
                        if (outcome instanceof StoreNode.Committed committed) {
                            log.accept("fleet: " + write.write().reason());
                            long until = now + MAX_APPLY_WAIT_MS;
                            whenApplied(
                                    committed.version(), until, () -> reply.answer(write.answer()));
                        } else if (attemptsLeft > 1 && isConflict(outcome)) {
                            loop.schedule(
                                    () -> handle(request, reply, attemptsLeft - 1),
                                    RETRY_MS,
                                    TimeUnit.MILLISECONDS);
                        } else {
                            reply.reject(
                                    failure(
                                            outcome,
                                            "unknown: begun, but no majority has it in time;"
                                                    + " look again"));
                        }
                    });
        }
    }

    /** Whether a write was decided on a copy that another write had outdated. */
    private static boolean isConflict(StoreNode.Result outcome) {
        return outcome instanceof StoreNode.Rejected rejected
                && rejected.reason().contains(" is at version ");
    }

    private static String failure(StoreNode.Result outcome, String unknown) {
        return outcome instanceof StoreNode.Rejected rejected
                ? "not done: " + rejected.reason()
                : unknown;
    }

    /** Runs an action once this node has applied a version, or after a time. */
    private void whenApplied(long version, long until, Runnable action) {
        if (store.version() >= version || FleetClock.nowMs() >= until) {
            action.run();
        } else {
            loop.schedule(
                    () -> whenApplied(version, until, action),
                    APPLY_POLL_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void handleRecovery(String request, StoreNode.AdminReply reply) {
        String verb = request.split(" ")[0];
        if (recovery == null) {
            reply.reject("this fleet has no plan for a loss of power");
        } else if (verb.equals("show")) {
            String epoch =
                    Epoch.of(node.searchers())
                            .toAttributes()
                            .with("of", recovery.ramp().steps())
                            .toString();
            reply.answer(epoch + "\nname=" + store.node() + " " + recovery.describe());
        } else {
            orderRecovery(verb, FormAttributes.of(request), reply);
        }
    }

    private void orderRecovery(String verb, FormAttributes attributes, StoreNode.AdminReply reply) {
        AdminResult result =
                RecoveryOrder.handle(node.searchers(), recovery.ramp(), verb, attributes);
        if (result instanceof AdminResult.Rejection rejection) {
            reply.reject(rejection.reason());
        } else if (result instanceof AdminResult.Write write) {
            StoreWrites.submit(
                    store,
                    write.write(),
                    outcome -> {
                        if (outcome instanceof StoreNode.Committed) {
                            log.accept("fleet: " + write.write().reason());
                            reply.answer(write.answer());
                        } else {
                            reply.reject(failure(outcome, "unknown: look again"));
                        }
                    });
        }
    }
}
