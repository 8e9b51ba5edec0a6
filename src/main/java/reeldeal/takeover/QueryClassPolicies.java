package reeldeal.takeover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reeldeal.decision.DecisionModule.QueryClass;
import reeldeal.decision.DecisionModule.RepeatSafety;
import reeldeal.fleet.takeover.TakeoverPolicy;
import reeldeal.takeover.TakeoverConfig.Mode;

/** Holds the recording mode and the deduplication window of each query class. Immutable. */
final class QueryClassPolicies {
    /** The length of a window so short that no run may be repeated, ms. */
    private static final long NO_REPEATS_MS = 1;

    private static final TakeoverPolicy.Window UNKNOWN_CLASS_WINDOW =
            new TakeoverPolicy.Window(NO_REPEATS_MS, 0, 0);

    private final List<String> classNames;
    private final List<Mode> modes = new ArrayList<>();
    private final Map<String, TakeoverPolicy.Window> windows = new HashMap<>();

    /**
     * Throws IllegalArgumentException if the configuration names a query class that does not exist.
     */
    QueryClassPolicies(List<String> classNames, List<QueryClass> classes, TakeoverConfig config) {
        this.classNames = classNames;
        for (String className : config.classes().keySet()) {
            if (!classNames.contains(className)) {
                throw new IllegalArgumentException(
                        "store handover.classes."
                                + className
                                + ": no such query class; expected one of "
                                + String.join(", ", classNames));
            }
        }
        for (int i = 0; i < classNames.size(); i++) {
            QueryClass queryClass = classes.get(i);
            boolean isKeyed = queryClass.repeatSafety() == RepeatSafety.IDEMPOTENT_WITH_KEY;
            modes.add(config.mode(classNames.get(i), isKeyed));
            windows.put(
                    classNames.get(i),
                    new TakeoverPolicy.Window(
                            windowMs(queryClass),
                            config.clockErrorMs(),
                            config.minimumTimeLeftMs()));
        }
    }

    private static long windowMs(QueryClass queryClass) {
        return switch (queryClass.repeatSafety()) {
            case IDEMPOTENT_WITH_KEY -> (long) queryClass.deduplicationWindowMs();
            case NOT_IDEMPOTENT -> NO_REPEATS_MS;
            case IDEMPOTENT -> 0;
        };
    }

    Mode mode(int classIndex) {
        return modes.get(classIndex);
    }

    String name(int classIndex) {
        return classNames.get(classIndex);
    }

    /** Returns the index of the query class with this name, negative if there is none. */
    int indexOf(String name) {
        return classNames.indexOf(name);
    }

    TakeoverPolicy.Window window(String name) {
        return windows.getOrDefault(name, UNKNOWN_CLASS_WINDOW);
    }
}
