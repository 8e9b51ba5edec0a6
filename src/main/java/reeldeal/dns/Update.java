package reeldeal.dns;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reeldeal.dns.Journal.Diff;

/** Computes the result of a dynamic update on a zone value (RFC 2136, section 3). */
public final class Update {

    /**
     * The response code, the resulting zone and the change. If nothing changes, the zone is the old
     * one and the change is null.
     */
    public record Outcome(int rcode, Zone zone, Diff diff) {}

    private Update() {}

    /**
     * Evaluates an update against a zone. The cost grows with the update size, and only with the
     * logarithm of the zone size.
     */
    public static Outcome apply(Message message, Zone zone) {
        int rcode = checkPrerequisites(message.sections.get(0), zone);
        if (rcode == Rcode.NOERROR) {
            rcode = prescan(message.sections.get(1), zone);
        }
        if (rcode != Rcode.NOERROR) {
            return new Outcome(rcode, zone, null);
        }
        Zone updated = zone;
        Map<String, String[]> touchedSets = new LinkedHashMap<>();
        for (Rr record : message.sections.get(1)) {
            updated = applyRecord(record, updated, touchedSets);
        }
        Diff diff = Diff.between(zone, updated, touchedSets.values());
        if (diff.removed().isEmpty()
                && diff.added().isEmpty()
                && updated.soa().sameData(zone.soa().data())) {
            return new Outcome(Rcode.NOERROR, zone, null);
        }
        for (String[] nameAndType : touchedSets.values()) {
            RrSet set = updated.get(nameAndType[0], Integer.parseInt(nameAndType[1]));
            if (set != null && set.messageBytes() > RrSet.MAX_BYTES) {
                // A message might not have room for the set.
                return new Outcome(Rcode.REFUSED, zone, null);
            }
        }
        if (updated.serial() == zone.serial()) {
            updated = updated.incrementSerial(); // RFC 2136, section 3.6
        }
        return new Outcome(
                Rcode.NOERROR,
                updated,
                new Diff(zone.soa(), updated.soa(), diff.removed(), diff.added()));
    }

    private static int checkPrerequisites(List<Rr> records, Zone zone) {
        Map<String, List<Rr>> requiredSets = new HashMap<>();
        for (Rr rr : records) {
            if (rr.ttl() != 0) {
                return Rcode.FORMERR;
            }
            if (!Names.within(rr.name(), zone.origin)) {
                return Rcode.NOTZONE;
            }
            boolean inUse = zone.types(rr.name()).length > 0;
            boolean exists = zone.get(rr.name(), rr.type()) != null;
            if (rr.recordClass() == Rr.ANY || rr.recordClass() == Rr.NONE) {
                if (rr.data().length > 0) {
                    return Rcode.FORMERR;
                }
                boolean mustExist = rr.recordClass() == Rr.ANY;
                if (rr.type() == Rr.ANY && inUse != mustExist) {
                    return mustExist ? Rcode.NXDOMAIN : Rcode.YXDOMAIN;
                }
                if (rr.type() != Rr.ANY && exists != mustExist) {
                    return mustExist ? Rcode.NXRRSET : Rcode.YXRRSET;
                }
            } else if (rr.recordClass() == Rr.IN && !Rr.isMeta(rr.type())) {
                requiredSets
                        .computeIfAbsent(rr.name() + "/" + rr.type(), k -> new ArrayList<>())
                        .add(rr);
            } else {
                return Rcode.FORMERR;
            }
        }
        for (List<Rr> required : requiredSets.values()) {
            RrSet set = zone.get(required.get(0).name(), required.get(0).type());
            if (set == null
                    || !required.stream().allMatch(rr -> set.contains(rr.data()))
                    || !set.data().stream()
                            .allMatch(d -> required.stream().anyMatch(rr -> rr.sameData(d)))) {
                return Rcode.NXRRSET;
            }
        }
        return Rcode.NOERROR;
    }

    private static int prescan(List<Rr> records, Zone zone) {
        for (Rr rr : records) {
            if (!Names.within(rr.name(), zone.origin)) {
                return Rcode.NOTZONE;
            }
            boolean wellFormed =
                    switch (rr.recordClass()) {
                        case Rr.IN ->
                                !Rr.isMeta(rr.type())
                                        && (rr.data().length > 0
                                                || Types.fields(rr.type()) == null);
                        case Rr.ANY ->
                                rr.ttl() == 0
                                        && rr.data().length == 0
                                        && (!Rr.isMeta(rr.type()) || rr.type() == Rr.ANY);
                        case Rr.NONE -> rr.ttl() == 0 && !Rr.isMeta(rr.type());
                        default -> false;
                    };
            if (!wellFormed) {
                return Rcode.FORMERR;
            }
        }
        return Rcode.NOERROR;
    }

    private static Zone applyRecord(Rr rr, Zone zone, Map<String, String[]> touchedSets) {
        boolean apex = rr.name().equals(zone.origin);
        if (rr.recordClass() == Rr.IN) {
            touch(rr.name(), rr.type(), touchedSets);
            return addRecord(rr, zone);
        } else if (rr.recordClass() == Rr.ANY) {
            Zone updated = zone;
            for (int type : zone.types(rr.name())) {
                // The SOA and NS sets at the apex cannot be deleted as a whole.
                if ((rr.type() == Rr.ANY || rr.type() == type)
                        && !(apex && (type == Rr.SOA || type == Rr.NS))) {
                    touch(rr.name(), type, touchedSets);
                    updated = updated.with(rr.name(), type, null);
                }
            }
            return updated;
        }
        RrSet set = zone.get(rr.name(), rr.type());
        boolean onlyRecord = set != null && set.data().size() == 1;
        if (rr.type() == Rr.SOA || (apex && rr.type() == Rr.NS && onlyRecord)) {
            return zone;
        }
        touch(rr.name(), rr.type(), touchedSets);
        return zone.minus(rr.name(), rr.type(), rr.data());
    }

    private static void touch(String name, int type, Map<String, String[]> touchedSets) {
        touchedSets.putIfAbsent(name + "/" + type, new String[] {name, String.valueOf(type)});
    }

    private static Zone addRecord(Rr rr, Zone zone) {
        boolean hasCname = zone.get(rr.name(), Rr.CNAME) != null;
        if (rr.type() == Rr.SOA) {
            boolean newer =
                    rr.name().equals(zone.origin)
                            && ZoneSuccession.isNewer(
                                    ZoneSuccession.Arrival.UPDATE,
                                    zone.serial(),
                                    Zone.serial(rr.data()));
            return newer
                    ? zone.with(rr.name(), Rr.SOA, new RrSet(rr.ttl(), List.of(rr.data())))
                    : zone;
        } else if (rr.type() == Rr.CNAME) {
            return hasCname || zone.types(rr.name()).length == 0
                    ? zone.with(rr.name(), Rr.CNAME, new RrSet(rr.ttl(), List.of(rr.data())))
                    : zone;
        }
        return hasCname ? zone : zone.plus(rr);
    }
}
