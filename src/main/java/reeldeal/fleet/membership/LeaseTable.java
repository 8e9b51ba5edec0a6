package reeldeal.fleet.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Member;

/**
 * The leases as the leader tracks them, in memory. A lease expires a whole term after the last
 * heartbeat of its holder, but not before this leader has led for a whole term, since the
 * heartbeats that its predecessor received are not known to it.
 *
 * <p>Times are ms of the leader's steady clock. Used on the state loop.
 */
public class LeaseTable {
    private static final long NOT_LEADING = Long.MAX_VALUE;
    private static final long UNKNOWN_TERM_START = Long.MAX_VALUE / 2;

    /**
     * The state of a lease holder.
     *
     * @param lastHeardAt when its last heartbeat was received, or when it was first seen in the log
     *     if none was
     * @param appliedVersion the version up to which the holder has applied the log
     * @param everHeard whether this leader has received a heartbeat from it
     * @param expiring whether the write that ends its lease is in progress
     */
    private record Holder(
            long incarnation,
            long lastHeardAt,
            long appliedVersion,
            boolean everHeard,
            boolean expiring) {}

    private final long termMs;
    private final Map<String, Holder> holders = new HashMap<>();
    private long leadingSince = NOT_LEADING;

    /**
     * Creates the table of a node that does not lead yet; {@code termMs} is the term of all leases.
     */
    public LeaseTable(long termMs) {
        this.termMs = termMs;
    }

    /** Starts the leadership of this node; all leases begin a whole term. */
    public void beginLeadership(long now) {
        leadingSince = now;
        holders.clear();
    }

    /** Ends the leadership of this node. */
    public void endLeadership() {
        leadingSince = NOT_LEADING;
        holders.clear();
    }

    private boolean isLeading() {
        return leadingSince != NOT_LEADING;
    }

    /** Returns the state of this incarnation of a member, or null if there is none. */
    private Holder holder(Member member) {
        Holder holder = holders.get(member.name());
        return holder == null || holder.incarnation() != member.incarnation() ? null : holder;
    }

    /**
     * Records a heartbeat from a holder that has applied the log up to a version. Returns false if
     * the heartbeat does not renew the lease, because this node does not lead, the incarnation
     * holds no lease, or the end of the lease is already being written.
     */
    public boolean recordHeartbeat(
            FleetView fleet, String name, long incarnation, long appliedVersion, long now) {
        Member member = fleet.members().get(name);
        if (!isLeading()
                || member == null
                || member.incarnation() != incarnation
                || !member.hasLease()) {
            return false;
        }
        Holder known = holder(member);
        if (known != null && known.expiring()) {
            return false;
        }
        holders.put(name, new Holder(incarnation, now, appliedVersion, true, false));
        return true;
    }

    /** Handles a change of the log: incarnations that are new in it get a whole term from now. */
    public void onFleetChanged(FleetView fleet, long now) {
        if (!isLeading()) {
            return;
        }
        for (Member member : fleet.members().values()) {
            if (holder(member) == null) {
                holders.put(member.name(), new Holder(member.incarnation(), now, 0, false, false));
            }
        }
    }

    /**
     * Marks a lease whose end is being written: this leader no longer renews it, whether that write
     * succeeds or not.
     */
    public void markExpiring(Member member) {
        Holder known = holders.get(member.name());
        Holder expiring =
                known == null
                        ? new Holder(member.incarnation(), leadingSince, 0, false, true)
                        : new Holder(
                                member.incarnation(),
                                known.lastHeardAt(),
                                known.appliedVersion(),
                                known.everHeard(),
                                true);
        holders.put(member.name(), expiring);
    }

    /** Returns the members that hold a lease according to the log and whose term has expired. */
    public Set<String> expiredMembers(FleetView fleet, long now) {
        Set<String> expired = new TreeSet<>();
        for (Member member : fleet.members().values()) {
            if (member.hasLease() && isLeading() && now - termStart(member) >= termMs) {
                expired.add(member.name());
            }
        }
        return expired;
    }

    /**
     * Returns when the term of a member began: when its last heartbeat was received (or it was
     * first seen in the log), or when this node began to lead, whichever is later.
     */
    protected long termStart(Member member) {
        Holder holder = holder(member);
        return holder == null ? UNKNOWN_TERM_START : Math.max(leadingSince, holder.lastHeardAt());
    }

    /**
     * Returns the lease holders that have not yet reported that they applied the log up to a
     * version.
     */
    public Set<String> membersBehind(FleetView fleet, long version) {
        Set<String> behind = new TreeSet<>();
        for (Member member : fleet.members().values()) {
            Holder holder = holder(member);
            if (member.hasLease() && (holder == null || holder.appliedVersion() < version)) {
                behind.add(member.name());
            }
        }
        return behind;
    }

    /**
     * Returns how long ago the last heartbeat of a member was received, ms, or -1 if this leader
     * never received one.
     */
    public long silenceMs(Member member, long now) {
        Holder holder = holder(member);
        return holder == null || !holder.everHeard() ? -1 : now - holder.lastHeardAt();
    }
}
