package reeldeal.fleet.membership;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;

/**
 * Computes the wall clock of a fleet in which some clocks may be wrong. The clock of the leader is
 * not sufficient: if it were the wrong one, all other clocks would look wrong. Members send their
 * wall clock time with their heartbeats, and the median of all clocks, including the leader's, is
 * the time of the fleet. The transit time of a heartbeat makes a member's clock look slow by that
 * time, some ms on a local network.
 *
 * <p>Maintained by the leader, on the state loop.
 */
public final class ClockMedian {
    private final Map<String, Long> offsetsMs = new TreeMap<>();

    /**
     * Records that the clock of a member showed {@code memberMs} when the leader's showed {@code
     * leaderMs}.
     */
    public void recordOffset(String member, long memberMs, long leaderMs) {
        offsetsMs.put(member, memberMs - leaderMs);
    }

    /** Removes the offsets of all members except these. */
    public void retainMembers(Collection<String> members) {
        offsetsMs.keySet().retainAll(members);
    }

    /** Removes all offsets: a new leader must first receive heartbeats from the members. */
    public void clear() {
        offsetsMs.clear();
    }

    /**
     * Returns whether the clocks of more than half of {@code memberCount} members are known,
     * including the leader's. With fewer clocks it cannot be determined which one is wrong.
     */
    public boolean hasQuorum(String leader, int memberCount) {
        long others = offsetsMs.keySet().stream().filter(name -> !name.equals(leader)).count();
        return 2 * (1 + others) > memberCount;
    }

    /**
     * Returns by how many ms the fleet's clock is ahead of the leader's. Of two middle offsets, it
     * is the one closer to the leader's clock.
     */
    public long medianOffsetMs(String leader) {
        LongStream others =
                offsetsMs.entrySet().stream()
                        .filter(offset -> !offset.getKey().equals(leader))
                        .mapToLong(Map.Entry::getValue);
        long[] sorted = LongStream.concat(LongStream.of(0), others).sorted().toArray();
        long lowerMiddle = sorted[(sorted.length - 1) / 2];
        long upperMiddle = sorted[sorted.length / 2];
        return Math.abs(lowerMiddle) <= Math.abs(upperMiddle) ? lowerMiddle : upperMiddle;
    }
}
