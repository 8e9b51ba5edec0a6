package reeldeal.decision;

import java.util.List;
import reeldeal.decision.DecisionModule.Tenant;

/** Holds a token bucket for each tenant, with this broker's share of the tenant's quota. */
final class TenantQuotas {
    /** Seconds of the quota that a bucket can hold at most, and can be in debt at most. */
    private static final double BURST_SECONDS = 2;

    /** Lower bound of that amount, in queries. */
    private static final double MIN_BURST = 2;

    private final EventClock clock;
    private final double[] quotaPerSecond;
    private final double[] tokens;
    private final double[] refilledAtMs;

    TenantQuotas(EventClock clock, List<Tenant> tenants, int brokers) {
        this.clock = clock;
        this.quotaPerSecond = new double[tenants.size()];
        this.tokens = new double[tenants.size()];
        this.refilledAtMs = new double[tenants.size()];
        for (int tenant = 0; tenant < tokens.length; tenant++) {
            quotaPerSecond[tenant] = tenants.get(tenant).quotaPerSecond() / brokers;
            tokens[tenant] = quotaPerSecond[tenant];
            refilledAtMs[tenant] = clock.now();
        }
    }

    /**
     * Records a query of a tenant.
     *
     * @param tenant index of the tenant; any number that is not an index means that it has no quota
     * @return whether the query exceeds the quota
     */
    boolean recordQuery(int tenant) {
        if (tenant < 0 || tenant >= tokens.length) {
            return false;
        }
        double rate = quotaPerSecond[tenant];
        double burst = Math.max(MIN_BURST, BURST_SECONDS * rate);
        double elapsedMs = clock.now() - refilledAtMs[tenant];
        tokens[tenant] = Math.min(burst, tokens[tenant] + elapsedMs * rate / 1000);
        refilledAtMs[tenant] = clock.now();
        boolean exceeds = tokens[tenant] < 1;
        tokens[tenant] = Math.max(-burst, tokens[tenant] - 1);
        return exceeds;
    }
}
