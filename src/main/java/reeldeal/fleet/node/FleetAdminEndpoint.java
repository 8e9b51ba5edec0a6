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
import reeldeal.store.AdminReply;
import reeldeal.store.StoreNode;

/**
 * Handles operators' requests that begin with {@code fleet}: decides them on this node's copy of
 * the fleet, submits the resulting write and answers after its commit. Used on the state loop.
 */
final class FleetAdminEndpoint {
    private static final String REQUEST_PREFIX = "fleet";
    private static final String RECOVERY_PREFIX = "recovery";
    private static final int MAX_ATTEMPTS = 5;
    private static final int RETRY_MS = 100;
    private static final int MAX_APPLY_WAIT_MS = 2_000;
    private static final int APPLY_POLL_MS = 10;

    /** The state of this node that the requests depend on. */
    interface Node {
        /** Returns the fleet as this node last read it from the store. */
        FleetView fleet();

        /** Reads the fleet again from all that this node has applied, including its own writes. */
        FleetView refreshedFleet();

        /** Returns the answer to {@code fleet self}, one line. */
        String describe();
    }

    private final EventLoop loop;
    private final StoreNode store;
    private final Consumer<String> log;
    private final AdminRequestHandler handler;
    private final FleetLeadership leadership;
    private final RecoveryProgress recovery;
    private final Node node;

    /** Creates an endpoint; {@code recovery} is null if the fleet has no recovery plan. */
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

    /** Answers a request; its text begins with the word {@code fleet}. */
    void handle(String text, AdminReply reply) {
        String request = text.substring(REQUEST_PREFIX.length()).trim();
        if (request.startsWith(RECOVERY_PREFIX)) {
            handleRecovery(request.substring(RECOVERY_PREFIX.length()).trim(), reply);
        } else if (request.equals("self")) {
            reply.answer(node.describe());
        } else {
            handle(request, reply, MAX_ATTEMPTS);
        }
    }

    private void handle(String request, AdminReply reply, int attemptsLeft) {
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
                            long deadlineMs = now + MAX_APPLY_WAIT_MS;
                            whenApplied(
                                    committed.version(),
                                    deadlineMs,
                                    () -> reply.answer(write.answer()));
                        } else if (attemptsLeft > 1 && isConflict(outcome)) {
                            loop.schedule(
                                    () -> handle(request, reply, attemptsLeft - 1),
                                    RETRY_MS,
                                    TimeUnit.MILLISECONDS);
                        } else {
                            reply.reject(
                                    failureMessage(
                                            outcome,
                                            "unknown: the write was proposed, but no majority has"
                                                    + " confirmed it in time; check the state"
                                                    + " before repeating the request"));
                        }
                    });
        }
    }

    /** Whether a write was rejected because it was decided on an outdated copy of the fleet. */
    private static boolean isConflict(StoreNode.Result outcome) {
        return outcome instanceof StoreNode.Rejected rejected
                && rejected.reason().contains(" is at version ");
    }

    private static String failureMessage(StoreNode.Result outcome, String unknownOutcomeMessage) {
        return outcome instanceof StoreNode.Rejected rejected
                ? "not done: " + rejected.reason()
                : unknownOutcomeMessage;
    }

    /** Runs an action once this node has applied a version, or at the deadline. */
    private void whenApplied(long version, long deadlineMs, Runnable action) {
        if (store.version() >= version || FleetClock.nowMs() >= deadlineMs) {
            action.run();
        } else {
            loop.schedule(
                    () -> whenApplied(version, deadlineMs, action),
                    APPLY_POLL_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void handleRecovery(String request, AdminReply reply) {
        String verb = request.split(" ")[0];
        if (recovery == null) {
            reply.reject("recovery is disabled: fleet.recovery.steps is off");
        } else if (verb.equals("show")) {
            String epoch =
                    Epoch.of(node.fleet())
                            .toAttributes()
                            .with("of", recovery.ramp().steps())
                            .toString();
            reply.answer(epoch + "\nname=" + store.node() + " " + recovery.describe());
        } else {
            orderRecovery(verb, FormAttributes.of(request), reply);
        }
    }

    private void orderRecovery(String verb, FormAttributes attributes, AdminReply reply) {
        AdminResult result = RecoveryOrder.handle(node.fleet(), recovery.ramp(), verb, attributes);
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
                            reply.reject(
                                    failureMessage(
                                            outcome,
                                            "unknown: no majority has confirmed the write in time; check with recovery show"));
                        }
                    });
        }
    }
}
