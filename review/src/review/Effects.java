package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the searchers together have run for keyed parts. Any holder of a shard drops a repeat of a
 * key for the class's window, counted from the run (BRIEF-reeldeal.md: "a repeated part is dropped
 * for 2.5 s").
 */
final class Effects {
    static final int WINDOW_MS = 2_500;
    private final Map<String, List<Long>> runs = new HashMap<>();

    /** Runs a keyed part at this time, or drops it as a repeat; returns whether it ran. */
    synchronized boolean run(String part, long now) {
        List<Long> times = runs.computeIfAbsent(part, p -> new ArrayList<>());
        if (!times.isEmpty() && now - times.get(times.size() - 1) < WINDOW_MS) {
            return false;
        }
        times.add(now);
        return true;
    }

    synchronized List<Long> runsOf(String part) {
        return List.copyOf(runs.getOrDefault(part, List.of()));
    }
}
