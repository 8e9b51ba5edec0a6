package reeldeal.simulator;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reeldeal.config.SettingsParser;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.Server;

/** Hosts the simulated brokers of one process, and passes each its events in order. */
final class InstanceHost {
    private final Map<Integer, BrokerInstance> instances = new TreeMap<>();
    private final List<List<Server>> serverLists = new ArrayList<>();
    private final ActionWriter out;
    private final PrintStream errors;

    InstanceHost(ActionWriter out, PrintStream errors) {
        this.out = out;
        this.errors = errors;
        for (int i = 0; i < EventRecord.MAX_LISTS; i++) {
            serverLists.add(List.of());
        }
    }

    /** Handles the events of one batch; the resulting actions are added to the writer. */
    void handleBatch(BatchReader.Batch batch) {
        double now = batch.now();
        for (int i = 0; i < batch.count(); i++) {
            handle(now, batch.event(i));
        }
        for (Map.Entry<Integer, BrokerInstance> instance : List.copyOf(instances.entrySet())) {
            runIsolated(instance.getKey(), () -> instance.getValue().submitPending(now));
        }
    }

    private void handle(double now, EventRecord event) {
        switch (event.code()) {
            case EventRecord.SERVER_LIST ->
                    serverLists.set(event.storedListNumber(), event.servers());
            case EventRecord.INSTANCE_STARTED -> startInstance(now, event);
            case EventRecord.INSTANCE_ENDED -> instances.remove(event.instance());
            default -> {
                BrokerInstance instance = instances.get(event.instance());
                if (instance != null) {
                    runIsolated(event.instance(), () -> handle(now, event, instance));
                }
            }
        }
    }

    private void startInstance(double now, EventRecord event) {
        int number = event.instance();
        String settings = event.settings();
        runIsolated(
                number,
                () ->
                        instances.put(
                                number,
                                new BrokerInstance(
                                        number,
                                        out,
                                        now,
                                        SettingsParser.parse(settings, event.seed()))));
    }

    /**
     * Runs a task of an instance. An instance whose task throws is reported and removed, and the
     * others go on; malformed input ends the whole adapter.
     */
    private void runIsolated(int number, Runnable task) {
        try {
            task.run();
        } catch (MalformedBatchException e) {
            throw e;
        } catch (RuntimeException e) {
            e.printStackTrace(errors);
            out.instanceFailed(number, String.valueOf(e.getMessage() == null ? e : e.getMessage()));
            instances.remove(number);
        }
    }

    private void handle(double now, EventRecord event, BrokerInstance instance) {
        switch (event.code()) {
            case EventRecord.ATTEMPT_ENDED ->
                    instance.module(now)
                            .outcome(
                                    now,
                                    event.id(),
                                    event.attempt(),
                                    event.attemptOutcome(),
                                    event.attemptElapsedMs(),
                                    event.attemptLoad());
            case EventRecord.CLIENT_DISCONNECTED -> {
                instance.module(now).clientDisconnected(now, event.id());
                instance.removeQuery(event.id());
            }
            case EventRecord.DEMAND -> {
                if (event.isShardRequest()) {
                    instance.addShardRequest(now, event.demandNumber(), event.shardRequest());
                } else {
                    instance.addQuery(now, event.demandNumber(), event.query());
                }
            }
            case EventRecord.LIST_CHANGED -> changeServerList(now, event, instance);
            case EventRecord.PROBE_ENDED ->
                    instance.module(now)
                            .probeOutcome(
                                    now,
                                    event.probedServer(),
                                    event.probeOutcome(),
                                    event.probeElapsedMs(),
                                    event.probeLoad());
            case EventRecord.TIMER_DUE -> instance.module(now).timer(now, event.timerToken());
            default -> {
                // Codes for streams and for messages between brokers, which are not used.
            }
        }
    }

    private void changeServerList(double now, EventRecord event, BrokerInstance instance) {
        EndpointListKind kind = event.listKind();
        List<Server> servers =
                kind == EndpointListKind.FAILED
                        ? List.of()
                        : serverLists.get(event.changedListNumber());
        instance.module(now).servers(now, kind, servers);
    }
}
