package reeldeal.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.takeover.InFlightRequests;
import reeldeal.fleet.takeover.KeyedRequest;
import reeldeal.fleet.takeover.RecordWrites;
import reeldeal.fleet.takeover.RequestAction;
import reeldeal.fleet.takeover.RequestRecord;
import reeldeal.fleet.takeover.TakeoverPolicy;

/** Variants of the takeover modules, each with one broken rule that the simulation must detect. */
final class BrokenTakeoverModules {
    private static final TakeoverPolicy.Window WINDOW = TakeoverSimulation.WINDOW;

    private interface RequestsFactory {
        InFlightRequests create(String name, Function<String, RequestRecord> records);
    }

    private BrokenTakeoverModules() {}

    /** Returns the module sets by the description of their broken rule. */
    static Map<String, TakeoverSimulation.Modules> all() {
        Map<String, TakeoverSimulation.Modules> broken = new LinkedHashMap<>();
        broken.put(
                "requests are taken over because of their timeout", policy(new TakeoverByTime()));
        broken.put("the deduplication window is ignored", policy(new WindowIgnored()));
        broken.put(
                "a claim does not expect the version of the record", policy(new UnfencedClaim()));
        broken.put("a claim does not expect that the owner has ended", policy(new EarlyClaim()));
        broken.put("brokers do not check their lease before they send", leaseNotChecked());
        broken.put("a second record is written for the same key", writes(new UnfencedBegin()));
        broken.put(
                "an outcome is written even if another broker owns the record",
                writes(new UnfencedEnd()));
        broken.put(
                "an owner's second incarnation counts as the first",
                policy(new IncarnationIgnored()));
        broken.put("the deduplication window counts as twice as long", policy(new DoubledWindow()));
        broken.put(
                "a failed request is restarted whenever its client retries",
                policy(new AlwaysRepeatable()));
        broken.put(
                "a request that may have run is withdrawn as unsent",
                requests(FailedIsUnsent::new));
        broken.put(
                "the deduplication window of a restarted request begins at the restart",
                writes(new WindowFromRestart()));
        broken.put(
                "a client is answered before the outcome is recorded", requests(EarlyReplies::new));
        return broken;
    }

    private static ConditionalWrite withoutRecord(ConditionalWrite write) {
        write.expectedVersions().keySet().removeIf(key -> key.startsWith(RequestRecord.ROOT));
        return write;
    }

    // ---- the policy ----

    private static TakeoverSimulation.Modules policy(TakeoverPolicy policy) {
        return new TakeoverSimulation.Modules() {
            @Override
            TakeoverPolicy takeoverPolicy() {
                return policy;
            }
        };
    }

    private static final class TakeoverByTime extends TakeoverPolicy {
        @Override
        public boolean isOrphaned(FleetView fleet, RequestRecord record) {
            long timeoutMs = record.deadlineMs() - record.firstSentAtMs();
            return record.isOpen()
                    && (super.isOrphaned(fleet, record)
                            || timeoutMs > TakeoverSimulation.CLIENT_TIMEOUT_MS / 2);
        }
    }

    private static final class WindowIgnored extends TakeoverPolicy {
        @Override
        public Verdict verdict(RequestRecord record, long now, Window window) {
            return now + window.minimumTimeLeftMs() > record.deadlineMs()
                    ? Verdict.UNKNOWN
                    : Verdict.RUN;
        }
    }

    private static final class UnfencedClaim extends TakeoverPolicy {
        @Override
        public ConditionalWrite claim(FleetView fleet, RequestRecord record, Member self) {
            return withoutRecord(super.claim(fleet, record, self));
        }
    }

    private static final class EarlyClaim extends TakeoverPolicy {
        @Override
        public boolean isOrphaned(FleetView fleet, RequestRecord record) {
            Member owner = fleet.members().get(record.owner());
            return super.isOrphaned(fleet, record) || (record.isOpen() && !owner.isServing());
        }

        @Override
        protected void expectOwnerEnded(
                FleetView fleet, RequestRecord record, ConditionalWrite write) {}
    }

    private static final class IncarnationIgnored extends TakeoverPolicy {
        @Override
        public boolean isOrphaned(FleetView fleet, RequestRecord record) {
            Member owner = fleet.members().get(record.owner());
            return record.isOpen() && (owner == null || !owner.hasLease());
        }
    }

    private static final class DoubledWindow extends TakeoverPolicy {
        @Override
        public Verdict verdict(RequestRecord record, long now, Window window) {
            Window doubled =
                    new Window(
                            window.windowMs() * 2,
                            window.clockErrorMs(),
                            window.minimumTimeLeftMs());
            return super.verdict(record, now, doubled);
        }
    }

    private static final class AlwaysRepeatable extends TakeoverPolicy {
        @Override
        public boolean isRepeatable(RequestRecord record, long now, Window window) {
            return true;
        }
    }

    private static TakeoverSimulation.Modules leaseNotChecked() {
        return new TakeoverSimulation.Modules() {
            @Override
            boolean checksLease() {
                return false;
            }
        };
    }

    // ---- the records' writes ----

    private static TakeoverSimulation.Modules writes(RecordWrites writes) {
        return requests(
                (name, records) ->
                        new InFlightRequests(
                                name,
                                new TakeoverPolicy(),
                                key -> WINDOW,
                                TakeoverSimulation.BOUNDS,
                                records,
                                writes));
    }

    private static final class UnfencedBegin extends RecordWrites {
        @Override
        protected ConditionalWrite create(RequestRecord record) {
            return withoutRecord(super.create(record));
        }
    }

    private static final class UnfencedEnd extends RecordWrites {
        @Override
        protected ConditionalWrite end(
                RequestRecord record, RequestRecord.State state, String outcome, long now) {
            return withoutRecord(super.end(record, state, outcome, now));
        }
    }

    private static final class WindowFromRestart extends RecordWrites {
        @Override
        protected ConditionalWrite end(
                RequestRecord record, RequestRecord.State state, String outcome, long now) {
            return state == RequestRecord.State.FAILED
                    ? super.end(firstSentAt(record, now), state, outcome, now)
                    : super.end(record, state, outcome, now);
        }

        private static RequestRecord firstSentAt(RequestRecord record, long now) {
            return new RequestRecord(
                    record.key(),
                    record.digest(),
                    record.queryClass(),
                    record.priorityWeight(),
                    record.owner(),
                    record.incarnation(),
                    now,
                    record.deadlineMs(),
                    record.runs(),
                    record.state(),
                    record.outcome(),
                    record.body(),
                    record.endedAtMs(),
                    record.version());
        }
    }

    // ---- the requests in flight ----

    private static TakeoverSimulation.Modules requests(RequestsFactory factory) {
        return new TakeoverSimulation.Modules() {
            @Override
            InFlightRequests inFlightRequests(
                    String name, Function<String, RequestRecord> records) {
                return factory.create(name, records);
            }
        };
    }

    private static final class FailedIsUnsent extends InFlightRequests {
        FailedIsUnsent(String name, Function<String, RequestRecord> records) {
            super(name, new TakeoverPolicy(), key -> WINDOW, TakeoverSimulation.BOUNDS, records);
        }

        @Override
        public void runEnded(long now, String key, RunOutcome outcome, String text) {
            super.runEnded(
                    now, key, outcome == RunOutcome.FAILED ? RunOutcome.UNSENT : outcome, text);
        }
    }

    private static final class EarlyReplies extends InFlightRequests {
        private final Map<String, List<Long>> clients = new HashMap<>();
        private final List<RequestAction> earlyReplies = new ArrayList<>();

        EarlyReplies(String name, Function<String, RequestRecord> records) {
            super(name, new TakeoverPolicy(), key -> WINDOW, TakeoverSimulation.BOUNDS, records);
        }

        @Override
        public void submit(long now, KeyedRequest request) {
            clients.computeIfAbsent(request.key(), key -> new ArrayList<>()).add(request.client());
            super.submit(now, request);
        }

        @Override
        public void runEnded(long now, String key, RunOutcome outcome, String text) {
            RequestRecord.State state =
                    outcome == RunOutcome.DONE
                            ? RequestRecord.State.DONE
                            : RequestRecord.State.FAILED;
            for (long client : clients.getOrDefault(key, List.of())) {
                earlyReplies.add(new RequestAction.Reply(client, state, text));
            }
            super.runEnded(now, key, outcome, text);
        }

        @Override
        public List<RequestAction> drainActions() {
            List<RequestAction> all = new ArrayList<>(earlyReplies);
            earlyReplies.clear();
            all.addAll(super.drainActions());
            return all;
        }
    }
}
