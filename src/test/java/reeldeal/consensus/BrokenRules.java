package reeldeal.consensus;

import java.util.List;

/**
 * Rule sets that each violate one rule of Raft on purpose; the simulation must detect each
 * violation.
 */
final class BrokenRules {

    /**
     * A rule set with one violation.
     *
     * @param name a description of the violation
     * @param rules the rule set that all nodes use
     * @param firstSeed the first seed to try; later than 1 if only few seeds reveal the violation
     */
    record Violation(String name, RaftRules rules, int firstSeed) {}

    private BrokenRules() {}

    static List<Violation> all() {
        return List.of(
                new Violation(
                        "one vote fewer than a majority wins an election",
                        new ElectsByMinority(),
                        1),
                new Violation(
                        "an entry is committed by one voter fewer than a majority",
                        new CommitsByMinority(),
                        1),
                new Violation(
                        "an entry of an earlier term is committed by counting replicas",
                        new CommitsEarlierTerms(),
                        17_000),
                new Violation(
                        "a vote is granted without comparing the logs",
                        new IgnoresCandidateLog(),
                        1),
                new Violation("a node votes twice in a term", new VotesTwice(), 1),
                new Violation(
                        "entries are appended after an entry of another term",
                        new SkipsLogMatch(),
                        1),
                new Violation(
                        "messages to other nodes do not wait for the disk",
                        new SendsBeforeFlush(),
                        1),
                new Violation(
                        "members change by any number, before the last change is committed",
                        new ChangesMembersFreely(),
                        1),
                new Violation(
                        "a leader answers reads without a quorum", new ReadsWithoutQuorum(), 3_000),
                new Violation(
                        "a new leader answers reads before an entry of its term is committed",
                        new ReadsBeforeOwnEntry(),
                        1),
                new Violation(
                        "messages of earlier terms are accepted", new AcceptsStaleTerms(), 1));
    }

    private static final class ElectsByMinority extends RaftRules {
        @Override
        int electionMajority(GroupConfiguration configuration) {
            return super.electionMajority(configuration) - 1;
        }
    }

    private static final class CommitsByMinority extends RaftRules {
        @Override
        int commitMajority(GroupConfiguration configuration) {
            return super.commitMajority(configuration) - 1;
        }
    }

    private static final class CommitsEarlierTerms extends RaftRules {
        @Override
        boolean mayCommit(long entryTerm, long currentTerm) {
            return true;
        }
    }

    private static final class IgnoresCandidateLog extends RaftRules {
        @Override
        boolean isUpToDate(RaftLog log, long candidateLastIndex, long candidateLastTerm) {
            return true;
        }
    }

    private static final class VotesTwice extends RaftRules {
        @Override
        boolean mayVoteFor(String vote, String candidate) {
            return true;
        }
    }

    private static final class SkipsLogMatch extends RaftRules {
        @Override
        boolean logMatches(RaftLog log, long prevLogIndex, long prevLogTerm) {
            return prevLogIndex <= log.lastIndex();
        }
    }

    private static final class SendsBeforeFlush extends RaftRules {
        @Override
        boolean mustWaitForDisk(Message message) {
            return message.to().equals(message.from());
        }
    }

    private static final class ChangesMembersFreely extends RaftRules {
        @Override
        boolean mayChangeConfiguration(
                GroupConfiguration current,
                GroupConfiguration proposed,
                boolean currentIsCommitted,
                boolean committedInCurrentTerm) {
            return true;
        }
    }

    private static final class ReadsWithoutQuorum extends RaftRules {
        @Override
        int readMajority(GroupConfiguration configuration) {
            return 1;
        }
    }

    private static final class ReadsBeforeOwnEntry extends RaftRules {
        @Override
        boolean mayRead(boolean committedInCurrentTerm) {
            return true;
        }
    }

    private static final class AcceptsStaleTerms extends RaftRules {
        @Override
        boolean rejectsStaleTerms() {
            return false;
        }
    }
}
