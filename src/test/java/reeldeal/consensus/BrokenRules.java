package reeldeal.consensus;

import java.util.List;

/** Rules that each violate one rule of Raft on purpose; the simulation must detect each. */
final class BrokenRules {

    /**
     * One violation.
     *
     * @param name what is violated
     * @param rules the rules of all nodes
     * @param firstSeed where the search begins, for a violation that few seeds show
     */
    record Violation(String name, RaftRules rules, int firstSeed) {}

    private BrokenRules() {}

    static List<Violation> all() {
        return List.of(
                new Violation("a vote short of a majority elects", new ElectsByMinority(), 1),
                new Violation(
                        "an entry commits a node short of a majority", new CommitsByMinority(), 1),
                new Violation(
                        "an entry of an earlier term is committed by counting",
                        new CommitsEarlierTerms(),
                        17_000),
                new Violation("a candidate's log is not compared", new IgnoresCandidateLog(), 1),
                new Violation("a node votes twice in a term", new VotesTwice(), 1),
                new Violation("entries are taken after one that differs", new SkipsLogMatch(), 1),
                new Violation("votes and responses do not wait for the disk", new SendsEarly(), 1),
                new Violation(
                        "members change before the last change is committed, and by any number",
                        new ChangesMembersFreely(),
                        1),
                new Violation("a leader reads without a quorum", new ReadsAlone(), 3_000),
                new Violation(
                        "a new leader reads before its own entry is committed",
                        new ReadsBeforeOwnEntry(),
                        1),
                new Violation("messages of past terms are taken", new TakesStaleTerms(), 1));
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

    private static final class SendsEarly extends RaftRules {
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

    private static final class ReadsAlone extends RaftRules {
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

    private static final class TakesStaleTerms extends RaftRules {
        @Override
        boolean rejectsStaleTerms() {
            return false;
        }
    }
}
