package reeldeal.fleet;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import reeldeal.fleet.FleetView.Kind;
import reeldeal.fleet.FleetView.Member;
import reeldeal.fleet.FleetView.Permit;
import reeldeal.fleet.FleetView.Release;
import reeldeal.fleet.FleetView.Stage;
import reeldeal.fleet.FleetView.Step;
import reeldeal.fleet.disruption.BudgetLimits;
import reeldeal.fleet.disruption.DisruptionBudget;
import reeldeal.fleet.disruption.DisruptionBudget.Observations;
import reeldeal.fleet.disruption.ReturnEvidence;
import reeldeal.fleet.membership.Lease;
import reeldeal.fleet.membership.LeaseTable;
import reeldeal.fleet.membership.LocalMember;
import reeldeal.fleet.rollout.HaltRules;
import reeldeal.fleet.rollout.RolloutController;
import reeldeal.fleet.rollout.RolloutController.MemberObservations;
import reeldeal.fleet.rollout.StepRules;

/** Variants of the fleet modules, each with one broken rule that the simulation must detect. */
final class BrokenFleetModules {
    /** The name of a broken rule that only few seeds detect. */
    static final String UNCONFIRMED_LEADER = "heartbeats are answered by an unconfirmed leader";

    private interface LocalMemberFactory {
        LocalMember create(
                LocalMember.Identity identity, LocalMember.Timing timing, DisruptionBudget budget);
    }

    private BrokenFleetModules() {}

    /** Returns the module sets by the description of their broken rule. */
    static Map<String, FleetSimulation.Modules> all() {
        Map<String, FleetSimulation.Modules> broken = new LinkedHashMap<>();
        broken.put("brokers that are out are not counted", budget(brokersNotCounted()));
        broken.put("grants are not serialised", budget(new UnserializedBudget()));
        broken.put(
                "a permit is released once its holder's lease has lapsed",
                budget(lapsedHolderIsBack()));
        broken.put(
                "a permit is released by a registration, before the broker serves",
                budget(registeredHolderIsBack()));
        broken.put(
                "a searcher counts as back while it is warming up", budget(coldSearcherIsBack()));
        broken.put(
                "a searcher whose restart is ordered counts as back without a restart",
                budget(listedSearcherIsBack()));
        broken.put("the leader ends leases before a whole term has passed", earlyLeaseEnds());
        broken.put("the holder allows for no clock skew", localMember(LeaseWithoutSkewMember::new));
        broken.put(UNCONFIRMED_LEADER, unconfirmedLeader());
        broken.put(
                "a restart order is executed by any process with the member's name",
                localMember(RestartOfAnyProcess::new));
        broken.put(
                "a broker drains before its state in the log is DRAINING",
                localMember(EarlyDrain::new));
        broken.put("steps do not expect the release's version", steps(UnfencedSteps::new));
        broken.put(
                "a member restarts before all brokers have applied its drain",
                steps(UnacknowledgedDrain::new));
        broken.put("a wrong version does not halt the release", wrongVersionsIgnored());
        broken.put("a rollback leaves out settled members", incompleteRollback());
        return broken;
    }

    // ---- the disruption budget ----

    private static FleetSimulation.Modules budget(DisruptionBudget budget) {
        return new FleetSimulation.Modules() {
            @Override
            DisruptionBudget disruptionBudget() {
                return budget;
            }
        };
    }

    private static DisruptionBudget brokersNotCounted() {
        BudgetLimits limits =
                new BudgetLimits() {
                    @Override
                    protected String brokerViolation(FleetView fleet, Set<String> out) {
                        return null;
                    }
                };
        return new DisruptionBudget(limits, new ReturnEvidence());
    }

    private static final class UnserializedBudget extends DisruptionBudget {
        @Override
        protected void serializePermitChanges(FleetView fleet, ConditionalWrite write) {}

        @Override
        public PermitDecision grant(
                FleetView fleet,
                Observations observations,
                Kind kind,
                String name,
                String requestedBy,
                String reason) {
            PermitDecision decision =
                    super.grant(fleet, observations, kind, name, requestedBy, reason);
            if (decision.write() != null) {
                decision.write()
                        .expectedVersions()
                        .keySet()
                        .removeIf(key -> key.startsWith(FleetView.STATE));
            }
            return decision;
        }
    }

    private static DisruptionBudget evidence(ReturnEvidence evidence) {
        return new DisruptionBudget(new BudgetLimits(), evidence);
    }

    private static DisruptionBudget lapsedHolderIsBack() {
        return evidence(
                new ReturnEvidence() {
                    @Override
                    protected String findBrokerEvidence(FleetView fleet, Permit permit) {
                        Member member = fleet.members().get(permit.name());
                        return member != null && !member.hasLease()
                                ? "lapsed"
                                : super.findBrokerEvidence(fleet, permit);
                    }
                });
    }

    private static DisruptionBudget registeredHolderIsBack() {
        return evidence(
                new ReturnEvidence() {
                    @Override
                    protected String findBrokerEvidence(FleetView fleet, Permit permit) {
                        Member member = fleet.members().get(permit.name());
                        return member != null && !member.bootId().equals(permit.processMark())
                                ? "registered"
                                : super.findBrokerEvidence(fleet, permit);
                    }
                });
    }

    private static DisruptionBudget coldSearcherIsBack() {
        return evidence(
                new ReturnEvidence() {
                    @Override
                    protected String findSearcherEvidence(
                            FleetView fleet, Observations observations, Permit permit) {
                        var observed = observations.searchers().get(permit.name());
                        return observed != null
                                        && observed.startedAtMs()
                                                > Long.parseLong(permit.processMark())
                                ? "listed"
                                : super.findSearcherEvidence(fleet, observations, permit);
                    }
                });
    }

    private static DisruptionBudget listedSearcherIsBack() {
        return evidence(
                new ReturnEvidence() {
                    @Override
                    protected String findSearcherEvidence(
                            FleetView fleet, Observations observations, Permit permit) {
                        return observations.searchers().containsKey(permit.name())
                                ? "listed"
                                : null;
                    }
                });
    }

    // ---- membership ----

    private static FleetSimulation.Modules earlyLeaseEnds() {
        return new FleetSimulation.Modules() {
            @Override
            LeaseTable leaseTable() {
                return new LeaseTable(3_000) {
                    @Override
                    protected long termStart(Member member) {
                        return super.termStart(member) - 2_500;
                    }
                };
            }
        };
    }

    private static FleetSimulation.Modules unconfirmedLeader() {
        return new FleetSimulation.Modules() {
            @Override
            boolean confirmsLeadership() {
                return false;
            }
        };
    }

    private static FleetSimulation.Modules localMember(LocalMemberFactory factory) {
        return new FleetSimulation.Modules() {
            @Override
            LocalMember localMember(
                    LocalMember.Identity identity,
                    LocalMember.Timing timing,
                    DisruptionBudget budget) {
                return factory.create(identity, timing, budget);
            }
        };
    }

    private static final class LeaseWithoutSkewMember extends LocalMember {
        LeaseWithoutSkewMember(Identity identity, Timing timing, DisruptionBudget budget) {
            super(identity, timing, budget);
        }

        @Override
        protected Lease createLease(long termMs) {
            return new Lease(termMs) {
                @Override
                protected long validityMs() {
                    return termMs + termMs / 10;
                }
            };
        }
    }

    private static final class RestartOfAnyProcess extends LocalMember {
        RestartOfAnyProcess(Identity identity, Timing timing, DisruptionBudget budget) {
            super(identity, timing, budget);
        }

        @Override
        protected boolean mayRestart(Step step, Member self) {
            return step.stage() == Stage.RESTART;
        }
    }

    private static final class EarlyDrain extends LocalMember {
        EarlyDrain(Identity identity, Timing timing, DisruptionBudget budget) {
            super(identity, timing, budget);
        }

        @Override
        protected boolean mayDrain(Member self) {
            return super.mayDrain(self) || isDrainOrdered();
        }
    }

    // ---- releases ----

    private static FleetSimulation.Modules rollout(
            Function<DisruptionBudget, RolloutController> factory) {
        return new FleetSimulation.Modules() {
            @Override
            RolloutController rolloutController(DisruptionBudget budget) {
                return factory.apply(budget);
            }
        };
    }

    private static FleetSimulation.Modules steps(Function<DisruptionBudget, StepRules> factory) {
        return rollout(
                budget ->
                        new RolloutController(
                                new HaltRules(budget.limits()), factory.apply(budget)));
    }

    private static final class UnfencedSteps extends StepRules {
        UnfencedSteps(DisruptionBudget budget) {
            super(budget);
        }

        @Override
        protected void expectRelease(Release release, ConditionalWrite write) {}
    }

    private static final class UnacknowledgedDrain extends StepRules {
        UnacknowledgedDrain(DisruptionBudget budget) {
            super(budget);
        }

        @Override
        protected boolean isDrainAcknowledged(MemberObservations memberObservations, long version) {
            return true;
        }
    }

    private static FleetSimulation.Modules wrongVersionsIgnored() {
        return rollout(
                budget ->
                        new RolloutController(
                                new HaltRules(budget.limits()) {
                                    @Override
                                    protected String haltReason(
                                            FleetView fleet,
                                            Observations observations,
                                            MemberObservations memberObservations) {
                                        String reason =
                                                super.haltReason(
                                                        fleet, observations, memberObservations);
                                        return reason != null && reason.contains("came back with")
                                                ? null
                                                : reason;
                                    }
                                },
                                new StepRules(budget)));
    }

    private static FleetSimulation.Modules incompleteRollback() {
        return new FleetSimulation.Modules() {
            @Override
            ConditionalWrite rollBack(FleetView fleet) {
                ConditionalWrite write = super.rollBack(fleet);
                for (Step step : fleet.steps().values()) {
                    if (step.stage() == Stage.SETTLED) {
                        Step untouched = step.withStage(Stage.UNTOUCHED, true);
                        write.put(FleetView.STEP + step.name(), FleetCodec.encode(untouched));
                    }
                }
                return write;
            }
        };
    }
}
