package reeldeal.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.recovery.BrokerRecoveryStatus;
import reeldeal.fleet.recovery.Epoch;
import reeldeal.fleet.recovery.OutageClassifier;
import reeldeal.fleet.recovery.RecoveryController;
import reeldeal.fleet.recovery.RecoveryRamp;

/** Variants of the recovery modules, each with one broken rule that the simulation must detect. */
final class BrokenRecoveryModules {
    private static final RecoveryRamp RAMP = RecoverySimulation.RAMP;

    private BrokenRecoveryModules() {}

    /** Returns the module sets by the description of their broken rule. */
    static Map<String, RecoverySimulation.Modules> all() {
        Map<String, RecoverySimulation.Modules> broken = new LinkedHashMap<>();
        broken.put("an uncertain outage counts as no outage", classifier(UncertainIsNoOutage::new));
        broken.put("an uncertain outage counts as an outage", classifier(UncertainIsOutage::new));
        broken.put(
                "heartbeats from before the first restart count as signs of life",
                classifier(EarlierHeartbeatsCount::new));
        broken.put("any two crashes count as a full outage", classifier(AnyTwoCrashes::new));
        broken.put("a late restart counts as another loss", classifier(AllLossesAreNew::new));
        broken.put(
                "a second outage during a recovery is ignored",
                classifier(OnlyFirstLossesAreNew::new));
        broken.put(
                "an epoch's write does not expect the previous one",
                controller(UnfencedController::new));
        broken.put("a recovery does not halt the release", controller(ReleaseGoesOn::new));
        broken.put(
                "a recovery advances while another outage is possible",
                controller(AdvancesWhileUncertain::new));
        broken.put(
                "a recovery advances without the minimum time at a step",
                controller(AdvancesImmediately::new));
        broken.put(
                "a recovery advances however late answers are, and reverts no step",
                controller(() -> new RecoveryController(rampWithoutObjective())));
        broken.put(
                "a recovery does not advance before all members are back",
                controller(AwaitsAllMembers::new));
        broken.put(
                "a broker does not wait until its start is classified",
                status(AssumesClassification::new));
        broken.put(
                "a recovery restricts brokers that continued to serve",
                status(ForgetsServing::new));
        return broken;
    }

    // ---- classification ----

    private static RecoverySimulation.Modules classifier(Supplier<OutageClassifier> factory) {
        return new RecoverySimulation.Modules() {
            @Override
            OutageClassifier outageClassifier() {
                return factory.get();
            }
        };
    }

    private static final class UncertainIsNoOutage extends OutageClassifier {
        UncertainIsNoOutage() {
            super(RAMP);
        }

        @Override
        public Verdict classify(FleetView fleet) {
            Verdict verdict = super.classify(fleet);
            return verdict.isCertain()
                    ? verdict
                    : new Verdict(
                            Epoch.Kind.NONE,
                            "",
                            true,
                            verdict.lost(),
                            verdict.total(),
                            verdict.sinceVersion());
        }
    }

    private static final class UncertainIsOutage extends OutageClassifier {
        UncertainIsOutage() {
            super(RAMP);
        }

        @Override
        public Verdict classify(FleetView fleet) {
            Verdict verdict = super.classify(fleet);
            return new Verdict(
                    verdict.kind(),
                    verdict.zone(),
                    true,
                    verdict.lost(),
                    verdict.total(),
                    verdict.sinceVersion());
        }
    }

    private static final class EarlierHeartbeatsCount extends OutageClassifier {
        EarlierHeartbeatsCount() {
            super(RAMP);
        }

        @Override
        protected void requireNewHeartbeats(FleetView fleet, Epoch epoch) {}
    }

    private static final class AnyTwoCrashes extends OutageClassifier {
        AnyTwoCrashes() {
            super(
                    new RecoveryRamp(
                            RAMP.shares(),
                            RAMP.dwellMs(),
                            RAMP.goodShare(),
                            RAMP.badShare(),
                            RAMP.minimumRequests(),
                            RAMP.idleMs(),
                            0.1,
                            RAMP.isolatedShare()));
        }

        @Override
        protected boolean areMostRestarted(int restarted, int present) {
            return restarted > 1;
        }
    }

    private static final class AllLossesAreNew extends OutageClassifier {
        AllLossesAreNew() {
            super(RAMP);
        }

        @Override
        protected boolean isNewLoss(Epoch epoch, long incarnation, String zone) {
            return true;
        }
    }

    private static final class OnlyFirstLossesAreNew extends OutageClassifier {
        OnlyFirstLossesAreNew() {
            super(RAMP);
        }

        @Override
        protected boolean isNewLoss(Epoch epoch, long incarnation, String zone) {
            return epoch.number() == 0;
        }
    }

    // ---- steps ----

    private static RecoverySimulation.Modules controller(Supplier<RecoveryController> factory) {
        return new RecoverySimulation.Modules() {
            @Override
            RecoveryController recoveryController() {
                return factory.get();
            }
        };
    }

    private static final class UnfencedController extends RecoveryController {
        UnfencedController() {
            super(RAMP);
        }

        @Override
        public ConditionalWrite nextWrite(
                long now, FleetView fleet, OutageClassifier classifier, double readyShare) {
            ConditionalWrite write = super.nextWrite(now, fleet, classifier, readyShare);
            if (write != null) {
                write.expectedVersions().remove(Epoch.KEY);
            }
            return write;
        }
    }

    private static final class ReleaseGoesOn extends RecoveryController {
        ReleaseGoesOn() {
            super(RAMP);
        }

        @Override
        protected ConditionalWrite beginEpoch(
                FleetView fleet, Epoch epoch, OutageClassifier.Verdict verdict) {
            ConditionalWrite write = super.beginEpoch(fleet, epoch, verdict);
            write.changes().keySet().removeIf(key -> !key.equals(Epoch.KEY));
            return write;
        }
    }

    private static final class AdvancesWhileUncertain extends RecoveryController {
        AdvancesWhileUncertain() {
            super(RAMP);
        }

        @Override
        protected boolean isOutageCertain(OutageClassifier.Verdict verdict) {
            return true;
        }
    }

    private static final class AdvancesImmediately extends RecoveryController {
        AdvancesImmediately() {
            super(RAMP);
        }

        @Override
        protected boolean mayAdvance(
                long atStepMs, long countedMs, boolean isConclusive, double onTimeShare) {
            return true;
        }
    }

    private static RecoveryRamp rampWithoutObjective() {
        return new RecoveryRamp(
                RAMP.shares(),
                RAMP.dwellMs(),
                -10,
                -10,
                RAMP.minimumRequests(),
                RAMP.idleMs(),
                RAMP.outageShare(),
                RAMP.isolatedShare());
    }

    private static final class AwaitsAllMembers extends RecoveryController {
        AwaitsAllMembers() {
            super(RAMP);
        }

        @Override
        public ConditionalWrite nextWrite(
                long now, FleetView fleet, OutageClassifier classifier, double readyShare) {
            boolean allServe = fleet.members().values().stream().allMatch(Member::isServing);
            return super.nextWrite(now, fleet, classifier, allServe ? readyShare : -1);
        }
    }

    // ---- brokers ----

    private static RecoverySimulation.Modules status(
            Function<String, BrokerRecoveryStatus> factory) {
        return new RecoverySimulation.Modules() {
            @Override
            BrokerRecoveryStatus recoveryStatus(String zone) {
                return factory.apply(zone);
            }
        };
    }

    private static final class AssumesClassification extends BrokerRecoveryStatus {
        AssumesClassification(String zone) {
            super(RAMP, zone);
        }

        @Override
        public boolean update(FleetView fleet, Member self, Inputs inputs) {
            return super.update(
                    fleet,
                    self,
                    new Inputs(
                            inputs.groupHeard(),
                            inputs.servingStale(),
                            self != null,
                            inputs.searchersListed()));
        }
    }

    private static final class ForgetsServing extends BrokerRecoveryStatus {
        private final String zone;
        private BrokerRecoveryStatus current;

        ForgetsServing(String zone) {
            super(RAMP, zone);
            this.zone = zone;
            current = new BrokerRecoveryStatus(RAMP, zone);
        }

        @Override
        public boolean update(FleetView fleet, Member self, Inputs inputs) {
            current = new BrokerRecoveryStatus(RAMP, zone);
            return current.update(fleet, self, inputs);
        }

        @Override
        public double admittedShare() {
            return current.admittedShare();
        }

        @Override
        public Stage stage() {
            return current.stage();
        }
    }
}
