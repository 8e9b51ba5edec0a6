package reeldeal.fleet.leader;

import java.util.Map;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.disruption.DisruptionBudget;

/**
 * Handles operators' requests on any node. Each request is decided on that node's copy of the
 * fleet's state; a resulting write expects the versions that the decision was based on, so that it
 * fails if the copy was outdated. Stateless; used on the state loop.
 */
public final class AdminRequestHandler {
    private final Map<String, Function<AdminRequest, AdminResult>> operations;

    /** Creates a handler that grants permits from the given budget. */
    public AdminRequestHandler(DisruptionBudget budget) {
        FleetReports reports = new FleetReports(budget.limits());
        DrainOperations drains = new DrainOperations(budget);
        operations =
                Map.ofEntries(
                        Map.entry("members", reports::members),
                        Map.entry("permits", reports::permits),
                        Map.entry("release show", reports::release),
                        Map.entry("policy", PolicyOperation::handle),
                        Map.entry("config", ConfigOperation::handle),
                        Map.entry("drain", drains::drain),
                        Map.entry("undrain", drains::undrain),
                        Map.entry("forget", ForgetOperation::handle),
                        Map.entry("release plan", ReleasePlanOperation::handle),
                        Map.entry("release start", ReleaseOrder.START::handle),
                        Map.entry("release pause", ReleaseOrder.PAUSE::handle),
                        Map.entry("release resume", ReleaseOrder.RESUME::handle),
                        Map.entry("release halt", ReleaseOrder.HALT::handle),
                        Map.entry("release back", ReleaseOrder.ROLL_BACK::handle));
    }

    /**
     * Parses and decides a request of the form {@code OPERATION [OPERATION] key=value ...}.
     *
     * @param silenceMs returns the time since a member's last heartbeat, ms, or -1 if it is unknown
     */
    public AdminResult handle(
            String text,
            FleetView fleet,
            DisruptionBudget.Observations observations,
            ToLongFunction<Member> silenceMs) {
        AdminRequest request = AdminRequest.parse(text, fleet, observations, silenceMs);
        Function<AdminRequest, AdminResult> operationHandler = operations.get(request.operation());
        if (operationHandler == null) {
            return new AdminResult.Rejection(
                    "fleet: expected members, permits, policy, config, drain, undrain, forget, or"
                            + " release plan, start, show, pause, resume, halt, back; found "
                            + request.operation());
        }
        return operationHandler.apply(request);
    }
}
