package reeldeal.consensus;

import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Checks whether the history of one register is linearizable: whether the calls can be ordered so
 * that each takes effect between its begin and its end, and each read returns the latest written
 * value (Herlihy and Wing 1990; the search is that of Wing and Gong with Lowe's memoization). A
 * write whose end is unknown may take effect at any later time, or never.
 */
final class LinearizabilityChecker {
    private final List<ClientCall> calls;
    private final Set<String> visited = new HashSet<>();

    private LinearizabilityChecker(List<ClientCall> calls) {
        this.calls = calls;
    }

    static boolean check(List<ClientCall> calls) {
        return new LinearizabilityChecker(calls).search(new BitSet(), null);
    }

    private boolean search(BitSet ordered, String value) {
        boolean answeredRemain = false;
        long firstEnd = Long.MAX_VALUE;
        for (int i = 0; i < calls.size(); i++) {
            if (!ordered.get(i)) {
                answeredRemain |= calls.get(i).end != Long.MAX_VALUE;
                firstEnd = Math.min(firstEnd, calls.get(i).end);
            }
        }
        if (!answeredRemain) {
            return true;
        }
        if (!visited.add(ordered + " " + value)) {
            return false;
        }
        for (int i = 0; i < calls.size(); i++) {
            ClientCall call = calls.get(i);
            // The next call to take effect must have begun before any remaining call ended.
            if (!ordered.get(i)
                    && call.begin <= firstEnd
                    && (call.write || Objects.equals(call.value, value))) {
                ordered.set(i);
                if (search(ordered, call.write ? call.value : value)) {
                    return true;
                }
                ordered.clear(i);
            }
        }
        return false;
    }
}
