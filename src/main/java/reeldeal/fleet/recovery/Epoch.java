package reeldeal.fleet.recovery;

import java.util.Set;
import java.util.TreeSet;
import reeldeal.fleet.ConditionalWrite;
import reeldeal.fleet.FleetView;
import reeldeal.fleet.FormAttributes;
import reeldeal.fleet.StoredIdentifier;

/**
 * The stored state of a recovery, either the one in progress or the last. One leader begins a
 * recovery and each later leader continues it from this state. Immutable.
 *
 * @param number the number of the recovery, from 1; 0 if there has never been one
 * @param kind the extent of the loss
 * @param zone the zone that was lost, "" unless the loss was that of one zone
 * @param step the step of the {@link RecoveryRamp}, from 1
 * @param held whether an operator holds the recovery at its step
 * @param ended whether the recovery has ended
 * @param forgotten the zones that an operator has declared not to return
 * @param reason why the recovery is at this step
 * @param sinceVersion the store's version before the first registration of a process that returned
 *     in this recovery
 * @param version the store's version at the last write of this state, 0 if it was never written
 */
public record Epoch(
        long number,
        Kind kind,
        String zone,
        int step,
        boolean held,
        boolean ended,
        Set<String> forgotten,
        String reason,
        long sinceVersion,
        long version) {
    /** The key under which the recovery is stored. */
    public static final String KEY = FleetView.ROOT + "recovery";

    private static final Epoch NO_RECOVERY =
            new Epoch(0, Kind.NONE, "", 0, false, true, Set.of(), "", 0, 0);

    /** The extent of a loss: none, one zone or the whole fleet. */
    public enum Kind implements StoredIdentifier {
        NONE("none"),
        ZONE("zone"),
        FLEET("whole");

        private final String stored;

        Kind(String stored) {
            this.stored = stored;
        }

        @Override
        public String stored() {
            return stored;
        }
    }

    /** Returns the stored recovery, or an ended one with number 0 if there has never been one. */
    public static Epoch of(FleetView fleet) {
        String text = fleet.get(KEY);
        if (text == null) {
            return NO_RECOVERY;
        }
        FormAttributes attributes = FormAttributes.of(text);
        return new Epoch(
                attributes.number("epoch", 0),
                StoredIdentifier.parse(Kind.class, attributes.get("kind")),
                attributes.get("zone"),
                (int) attributes.number("step", 1),
                attributes.get("held").equals("true"),
                attributes.get("ended").equals("true"),
                parseZones(attributes.get("forgotten")),
                attributes.get("reason"),
                attributes.number("since", 0),
                fleet.version(KEY));
    }

    private static Set<String> parseZones(String commaSeparated) {
        Set<String> zones = new TreeSet<>();
        for (String zone : commaSeparated.split(",")) {
            if (!zone.isEmpty()) {
                zones.add(zone);
            }
        }
        return zones;
    }

    /** Returns the attributes in which the recovery is stored. */
    public FormAttributes toAttributes() {
        return new FormAttributes()
                .with("epoch", number)
                .with("kind", kind.stored())
                .with("zone", zone)
                .with("step", step)
                .with("held", held)
                .with("ended", ended)
                .with("forgotten", String.join(",", forgotten))
                .with("reason", reason)
                .with("since", sinceVersion);
    }

    /** Returns the write that stores this epoch; {@code description} is for the log. */
    public ConditionalWrite write(String description) {
        return ConditionalWrite.withReason(description)
                .expect(KEY, version)
                .put(KEY, toAttributes());
    }

    /** Whether this recovery is in progress and restricts the brokers of a zone. */
    public boolean affects(String brokerZone) {
        return !ended && (kind == Kind.FLEET || (kind == Kind.ZONE && zone.equals(brokerZone)));
    }

    /** Returns the following epoch, at its first step, which keeps the forgotten zones. */
    Epoch next(Kind newKind, String newZone, String newReason, long newSinceVersion) {
        return new Epoch(
                number + 1,
                newKind,
                newZone,
                1,
                false,
                false,
                forgotten,
                newReason,
                newSinceVersion,
                version);
    }

    /** Returns this epoch at another step. */
    public Epoch atStep(int newStep, String newReason) {
        return new Epoch(
                number,
                kind,
                zone,
                newStep,
                held,
                false,
                forgotten,
                newReason,
                sinceVersion,
                version);
    }

    /** Returns this epoch, held at its step by an operator or no longer held. */
    public Epoch withHeld(boolean isHeld, String newReason) {
        return new Epoch(
                number,
                kind,
                zone,
                step,
                isHeld,
                ended,
                forgotten,
                newReason,
                sinceVersion,
                version);
    }

    /** Returns this epoch as ended. */
    public Epoch asEnded(String newReason) {
        return new Epoch(
                number, kind, zone, step, false, true, forgotten, newReason, sinceVersion, version);
    }

    /** Returns this epoch with one more zone declared not to return. */
    public Epoch withForgottenZone(String zoneToForget, String newReason) {
        Set<String> allForgotten = new TreeSet<>(forgotten);
        allForgotten.add(zoneToForget);
        return new Epoch(
                number,
                kind,
                zone,
                step,
                held,
                ended,
                allForgotten,
                newReason,
                sinceVersion,
                version);
    }
}
