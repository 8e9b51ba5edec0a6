package reeldeal.fleet;

import java.util.Map;
import java.util.TreeMap;

/** Builds stored fleet states for tests. The versions of the values count up from 10. */
public final class FleetValues {
    private final Map<String, FleetView.Value> values = new TreeMap<>();
    private long version = 10;

    /** Adds any stored value. */
    public FleetValues with(String key, Object value) {
        values.put(key, new FleetView.Value(value.toString(), version++));
        return this;
    }

    /** Adds a broker of a zone in a state, with a process whose boot is the name followed by 1. */
    public FleetValues broker(String name, String zone, FleetView.State state) {
        long incarnation = version;
        with(
                FleetView.REGISTRATION + name,
                FleetCodec.encode(
                        new FleetCodec.Registration(name + "1", "s", zone, "p", "c1", 0, 0)));
        return with(FleetView.STATE + name, FleetCodec.encodeState(incarnation, state, ""));
    }

    /** Adds a listed searcher of a cell whose process started at 1,000 ms. */
    public FleetValues searcher(String name, int cell) {
        return with(
                FleetView.SEARCHER + name,
                FleetCodec.encode(new FleetView.KnownSearcher(name, "z", "k", cell, 1_000, 0)));
    }

    /** Adds a planned permit for a process. */
    public FleetValues permit(FleetView.Kind kind, String name, String mark) {
        return with(
                FleetView.permitKey(kind, name),
                FleetCodec.encodePermit(mark, "operator", true, ""));
    }

    /** Adds a running release of broker configuration c2. */
    public FleetValues release() {
        return with(
                FleetView.RELEASE,
                FleetCodec.encode(
                        new FleetView.Release(
                                "r1",
                                FleetView.Kind.BROKER,
                                "config",
                                "c2",
                                false,
                                FleetView.Progress.RUNNING,
                                "",
                                5_000,
                                60_000,
                                0)));
    }

    /** Adds the step of a broker in the first wave of the release, previously at version c1. */
    public FleetValues step(String name, FleetView.Stage stage, String mark) {
        return with(
                FleetView.STEP + name,
                FleetCodec.encode(new FleetView.Step(name, 1, false, stage, mark, "c1", 0)));
    }

    /** Returns a view of the values added so far. */
    public FleetView view() {
        return new FleetView(new TreeMap<>(values));
    }
}
