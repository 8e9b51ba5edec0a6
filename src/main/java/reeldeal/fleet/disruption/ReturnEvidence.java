package reeldeal.fleet.disruption;

import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.FleetView.Permit;
import reeldeal.fleet.FleetView.Stage;
import reeldeal.fleet.FleetView.Step;
import reeldeal.fleet.disruption.DisruptionBudget.Observations;

/**
 * Looks for evidence that the holder of a permit is back in service. Elapsed time is no evidence,
 * so a permit never times out. Evidence is one line for the log, or null if there is none.
 */
public class ReturnEvidence {

    /** Returns the evidence that the holder of a permit has returned. */
    public String findEvidence(FleetView fleet, Observations observations, Permit permit) {
        if (permit.kind() == Kind.BROKER) {
            return findBrokerEvidence(fleet, permit);
        }
        return observations.searchers() == null
                ? null
                : findSearcherEvidence(fleet, observations, permit);
    }

    /** Returns the evidence that a broker with a permit has returned. */
    protected String findBrokerEvidence(FleetView fleet, Permit permit) {
        Member member = fleet.members().get(permit.name());
        if (member == null || !member.isServing()) {
            return null;
        }
        if (!member.bootId().equals(permit.processMark())) {
            return member.stateVersion() > permit.version()
                    ? "a newer process serves, incarnation " + member.incarnation()
                    : null;
        }
        // After its drain was removed, the same process cannot begin to drain: its write of
        // DRAINING expects the version of the drain's key.
        boolean undrained = fleet.drainMark(Kind.BROKER, permit.name()) == null;
        return undrained
                        && !permit.requestedBy().equals("exit")
                        && !isRestartOrdered(fleet, Kind.BROKER, permit.name())
                ? "it serves, and its drain was cancelled"
                : null;
    }

    /** Returns the evidence that a searcher with a permit has returned; the list must be known. */
    protected String findSearcherEvidence(
            FleetView fleet, Observations observations, Permit permit) {
        ObservedSearcher observed = observations.searchers().get(permit.name());
        if (observed == null
                || !observed.isServing()
                || !observed.warm()
                || fleet.drainMark(Kind.SEARCHER, permit.name()) != null) {
            return null;
        }
        if (observed.startedAtMs() > Long.parseLong(permit.processMark())) {
            return "a newer process is listed and warm";
        }
        return isRestartOrdered(fleet, Kind.SEARCHER, permit.name())
                ? null
                : "the same process is listed, and its drain was cancelled";
    }

    /**
     * Returns whether a release has ordered the restart of a member, in which case only a newer
     * process is evidence.
     */
    private static boolean isRestartOrdered(FleetView fleet, Kind kind, String name) {
        Step step = fleet.steps().get(name);
        return step != null
                && fleet.release() != null
                && fleet.release().kind() == kind
                && step.stage() == Stage.RESTART;
    }
}
