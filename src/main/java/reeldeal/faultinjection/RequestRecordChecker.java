package reeldeal.faultinjection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.takeover.RequestRecord;
import reeldeal.fleet.takeover.RequestRecord.State;

/**
 * Checks the rules for records of keyed requests: which broker owned each record, which shard
 * requests the searchers ran, and what the clients were answered.
 */
final class RequestRecordChecker {
    private final List<History.Event> events;
    private final Findings findings;
    private final boolean required;
    private final Map<String, RequestRecord> records = new TreeMap<>();
    private int claims;

    RequestRecordChecker(List<History.Event> events, Findings findings) {
        this.events = events;
        this.findings = findings;
        required =
                events.stream()
                        .anyMatch(event -> event.is("mode") && event.detail().contains("required"));
    }

    /**
     * Applies the changes of a commit to the records, and checks them.
     *
     * @param changes the changes by store key, {@code +VALUE}, or {@code -} for a removed key
     * @param before the fleet before the commit
     */
    void applyCommit(Map<String, String> changes, long version, FleetView before) {
        changes.forEach(
                (storeKey, change) -> {
                    if (storeKey.startsWith(RequestRecord.ROOT)) {
                        applyChange(storeKey, change, version, before);
                    }
                });
    }

    private void applyChange(String storeKey, String change, long version, FleetView fleet) {
        String clientKey = RequestRecord.requestKey(storeKey);
        if (change.equals("-")) {
            records.remove(clientKey);
            return;
        }
        RequestRecord record = RequestRecord.parse(storeKey, change.substring(1), version);
        RequestRecord previous = records.put(clientKey, record);
        if (previous != null) {
            checkChange(previous, record, version, fleet);
        }
    }

    private void checkChange(
            RequestRecord previous, RequestRecord current, long version, FleetView fleet) {
        String prefix = "version " + version + ": " + current.key();
        if (previous.state() == State.DONE || previous.state() == State.UNKNOWN) {
            findings.addViolation(
                    prefix
                            + " had ended as "
                            + previous.state()
                            + " and changed to "
                            + current.state());
        }
        if (previous.firstSentAtMs() != current.firstSentAtMs()) {
            findings.addViolation(prefix + ": the time when it was first sent has changed");
        }
        boolean sameOwner =
                previous.owner().equals(current.owner())
                        && previous.incarnation() == current.incarnation();
        if (previous.isOpen() && !sameOwner) {
            claims++;
            FleetView.Member owner = fleet.members().get(previous.owner());
            boolean leaseValid =
                    owner != null
                            && owner.hasLease()
                            && owner.incarnation() == previous.incarnation();
            if (leaseValid) {
                findings.addViolation(
                        prefix
                                + " was taken over from "
                                + previous.owner()
                                + ", whose lease was still valid");
            }
        }
    }

    /** Checks the events of clients and searchers, and adds the figures of keyed requests. */
    void check() {
        List<History.Event> requests = events.stream().filter(event -> event.is("want")).toList();
        if (requests.isEmpty()) {
            return;
        }
        checkRuns();
        new OutcomeChecker(events, requests, required, findings).check();
        new InFlightAtLossCounter(events, findings).count();
        countOverlaps();
        findings.addFigure("claims in the log", String.valueOf(claims));
    }

    /**
     * Checks that no shard request with an idempotency key runs twice, unless the searcher of its
     * previous run has forgotten the key since.
     */
    private void checkRuns() {
        Map<String, History.Event> lastRun = new HashMap<>();
        Map<String, Long> forgotAt = new HashMap<>();
        int runs = 0;
        int repeated = 0;
        int excused = 0;
        for (History.Event event : events) {
            if (event.is("forget")) {
                forgotAt.put(event.source(), event.atMs());
            }
            if (!event.is("run")) {
                continue;
            }
            runs++;
            String shardRequest = event.attribute("part");
            History.Event previousRun = lastRun.put(shardRequest, event);
            if (previousRun == null) {
                continue;
            }
            if (forgotAt.getOrDefault(previousRun.source(), -1L) >= previousRun.atMs()) {
                excused++;
                continue;
            }
            repeated++;
            if (required) {
                findings.addViolation(
                        shardRequest
                                + " ran again after "
                                + (event.atMs() - previousRun.atMs())
                                + " ms, though the searcher of its previous run had not forgotten the key");
            }
        }
        findings.addFigure(
                "keyed parts",
                runs
                        + " run, "
                        + repeated
                        + " of them again, "
                        + excused
                        + " again after their searcher had forgotten");
    }

    /** The highest run number seen of a request, which each takeover raises by one, and when. */
    private record LatestRun(int run, long at) {}

    /**
     * Counts the shard requests that an earlier owner sent after those of its successor. They are
     * possible between the owner's check of its lease and its write.
     */
    private void countOverlaps() {
        Map<String, LatestRun> latest = new HashMap<>();
        int overlaps = 0;
        long longestMs = 0;
        for (History.Event event : events) {
            if (!event.is("part") || !event.detail().startsWith("key")) {
                continue;
            }
            String requestName = event.detail().substring(0, event.detail().indexOf('.'));
            int tilde = requestName.indexOf('~');
            int run = tilde < 0 ? 1 : Integer.parseInt(requestName.substring(tilde + 1));
            String key = requestName.split("-")[0];
            LatestRun previousLatest = latest.putIfAbsent(key, new LatestRun(run, event.atMs()));
            if (previousLatest == null) {
                continue;
            }
            if (run > previousLatest.run()) {
                latest.put(key, new LatestRun(run, event.atMs()));
            } else if (run < previousLatest.run()) {
                overlaps++;
                longestMs = Math.max(longestMs, event.atMs() - previousLatest.at());
            }
        }
        findings.addFigure(
                "parts of an owner of before that came after its successor's",
                overlaps + (overlaps > 0 ? ", " + longestMs + " ms at the most" : ""));
    }
}
