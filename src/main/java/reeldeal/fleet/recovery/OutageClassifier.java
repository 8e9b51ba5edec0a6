package reeldeal.fleet.recovery;

import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.FleetView.State;

/**
 * Classifies crashes of members as those of single brokers, of a zone, or of the whole fleet. The
 * evidence is in the log, so that it outlives leaders: a registration names the preceding process
 * if that process ended without deregistering. An ended lease alone does not prove a crash, since a
 * network partition ends leases too. An outage therefore requires that most of the present members
 * were restarted, and that the restarted and missing members together are at least {@link
 * RecoveryRamp#outageShare} of all.
 *
 * <p>The leader's memory holds only which processes have proved to be alive. Used on the state
 * loop. The simulation overrides the protected methods with broken rules, to verify that its checks
 * detect them.
 */
public class OutageClassifier {
    /**
     * The key that is written when crashes were classified as those of single brokers, or when a
     * recovery ended. Crashes before the version of that write no longer count.
     */
    public static final String CLASSIFIED_KEY = FleetView.ROOT + "judged";

    private static final int MIN_MEMBERS = 2;

    /**
     * The result of a classification.
     *
     * @param kind the extent of the loss
     * @param zone the zone of the loss, "" unless the loss is that of one zone
     * @param isCertain whether the result holds whatever happened to members not heard yet
     * @param lost the number of members that were restarted after a crash or are missing
     * @param total the number of members counted
     * @param sinceVersion the store's version before the first registration of a restarted process
     */
    public record Verdict(
            Epoch.Kind kind,
            String zone,
            boolean isCertain,
            int lost,
            int total,
            long sinceVersion) {}

    /** Counts the members of the fleet or of a zone by their state. */
    private static final class Census {
        int total;
        int restarted;
        int missing;
        int unheard;
        long sinceVersion = Long.MAX_VALUE;
    }

    private final RecoveryRamp ramp;
    private final Set<String> heardProcesses = new HashSet<>();
    private long newestCrashIncarnation;

    /** Creates a classifier that uses the outage threshold of a ramp. */
    public OutageClassifier(RecoveryRamp ramp) {
        this.ramp = ramp;
    }

    /** Resets the classifier at the beginning of this node's leadership. */
    public void beginLeadership() {
        heardProcesses.clear();
        newestCrashIncarnation = 0;
    }

    /** Records that a process has proved to be alive during this leadership. */
    public void recordHeartbeat(String boot) {
        heardProcesses.add(boot);
    }

    /** Whether a member was restarted after a crash that has not been classified so far. */
    public boolean isUnclassifiedCrash(FleetView fleet, Epoch epoch, Member member) {
        return member.hasLease()
                && member.crashedIncarnation() > 0
                && member.incarnation() > fleet.version(CLASSIFIED_KEY)
                && isNewLoss(epoch, member.crashedIncarnation(), member.zone());
    }

    /** Classifies all crashes that are known and not classified yet. */
    public Verdict classify(FleetView fleet) {
        Epoch epoch = Epoch.of(fleet);
        requireNewHeartbeats(fleet, epoch);
        Set<String> zones = new TreeSet<>();
        fleet.members().values().forEach(member -> zones.add(member.zone()));
        Verdict fleetVerdict = classify(fleet, epoch, Epoch.Kind.FLEET, "", member -> true);
        if (fleetVerdict.kind() == Epoch.Kind.FLEET || zones.size() < 2) {
            return fleetVerdict;
        }
        Verdict uncertainZoneVerdict = null;
        for (String zone : zones) {
            Verdict zoneVerdict =
                    classify(
                            fleet,
                            epoch,
                            Epoch.Kind.ZONE,
                            zone,
                            member -> member.zone().equals(zone));
            if (zoneVerdict.kind() == Epoch.Kind.ZONE && zoneVerdict.isCertain()) {
                return zoneVerdict;
            }
            uncertainZoneVerdict = zoneVerdict.isCertain() ? uncertainZoneVerdict : zoneVerdict;
        }
        return uncertainZoneVerdict == null ? fleetVerdict : uncertainZoneVerdict;
    }

    /**
     * Requires new heartbeats of all members after each new restart that follows a crash. A member
     * that was heard before may have crashed in the same outage while its lease has not expired
     * yet. Without this rule the first process to return within a lease's term would be classified
     * as a single crash.
     */
    protected void requireNewHeartbeats(FleetView fleet, Epoch epoch) {
        long newestIncarnation =
                fleet.members().values().stream()
                        .filter(member -> isUnclassifiedCrash(fleet, epoch, member))
                        .mapToLong(Member::incarnation)
                        .max()
                        .orElse(0);
        if (newestIncarnation > newestCrashIncarnation) {
            newestCrashIncarnation = newestIncarnation;
            heardProcesses.clear();
        }
    }

    private Verdict classify(
            FleetView fleet,
            Epoch epoch,
            Epoch.Kind kind,
            String zone,
            Predicate<Member> isIncluded) {
        Census census = count(fleet, epoch, isIncluded);
        double threshold = ramp.outageShare() * census.total;
        int lost = census.restarted + census.missing;
        int present = census.total - census.missing - census.unheard;
        boolean isOutage =
                census.restarted > 0
                        && lost >= threshold
                        && areMostRestarted(census.restarted, present);
        boolean mayBeOutage =
                isOutage || (census.unheard > 0 && lost + census.unheard >= threshold);
        // Even before any member has returned the result is uncertain while most members have not
        // been heard: the first process to start after an outage must not learn that there was
        // none.
        boolean hasEvidence = census.restarted > 0 || census.unheard > 0;
        return census.total < MIN_MEMBERS || !hasEvidence || !mayBeOutage
                ? new Verdict(Epoch.Kind.NONE, "", true, lost, census.total, census.sinceVersion)
                : new Verdict(kind, zone, isOutage, lost, census.total, census.sinceVersion);
    }

    private Census count(FleetView fleet, Epoch epoch, Predicate<Member> isIncluded) {
        Census census = new Census();
        for (Member member : fleet.members().values()) {
            if (!isIncluded.test(member)
                    || epoch.forgotten().contains(member.zone())
                    || member.state() == State.GONE) {
                continue;
            }
            if (member.state() == State.LAPSED) {
                if (isMissing(fleet, epoch, member)) {
                    census.missing++;
                    census.total++;
                }
                continue;
            }
            census.total++;
            if (isUnclassifiedCrash(fleet, epoch, member)) {
                census.restarted++;
                census.sinceVersion = Math.min(census.sinceVersion, member.incarnation() - 1);
            } else if (!heardProcesses.contains(member.bootId())) {
                census.unheard++;
            }
        }
        return census;
    }

    /**
     * Whether a lapsed member counts as missing: it lapsed after the last classification, and the
     * recovery in progress or the last one does not cover its loss.
     */
    private boolean isMissing(FleetView fleet, Epoch epoch, Member member) {
        return member.stateVersion() > fleet.version(CLASSIFIED_KEY)
                && isNewLoss(epoch, member.incarnation(), member.zone());
    }

    /** Whether most of the present members were restarted; a partition restarts none of them. */
    protected boolean areMostRestarted(int restarted, int present) {
        return restarted * 2 > present;
    }

    /**
     * Whether a loss is not covered by the recovery in progress or the last one, because the lost
     * process had returned in that recovery or belongs to a zone other than the recovery's.
     */
    protected boolean isNewLoss(Epoch epoch, long incarnation, String zone) {
        return incarnation > epoch.sinceVersion()
                || (epoch.kind() == Epoch.Kind.ZONE && !epoch.zone().equals(zone));
    }
}
