package reeldeal.dns;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import reeldeal.dns.Zone.RrSet;

/** A dynamic update (RFC 2136, section 3): what it comes to for a zone, without doing it. */
final class Update {
    static final int NOERROR = 0;
    static final int FORMERR = 1;
    static final int SERVFAIL = 2;
    static final int NXDOMAIN = 3;
    static final int NOTIMP = 4;
    static final int REFUSED = 5;
    static final int YXDOMAIN = 6;
    static final int YXRRSET = 7;
    static final int NXRRSET = 8;
    static final int NOTAUTH = 9;
    static final int NOTZONE = 10;

    /** A code, and the zone as it is to be; null where nothing changes. */
    record Outcome(int rcode, Zone zone) { }

    private Update() { }

    static Outcome apply(Message message, Zone zone) {
        int rcode = prerequisites(message.sections.get(0), zone);
        if (rcode == NOERROR) {
            rcode = prescan(message.sections.get(1), zone);
        }
        if (rcode != NOERROR) {
            return new Outcome(rcode, null);
        }
        Zone fresh = zone.copy();
        for (Rr record : message.sections.get(1)) {
            update(record, fresh);
        }
        if (fresh.toValues().equals(zone.toValues())) {
            return new Outcome(NOERROR, null);
        }
        if (fresh.serial() == zone.serial()) {
            fresh.countUp();
        }
        return new Outcome(NOERROR, fresh);
    }

    private static int prerequisites(List<Rr> records, Zone zone) {
        Map<String, List<Rr>> values = new HashMap<>();
        for (Rr r : records) {
            if (r.ttl() != 0) {
                return FORMERR;
            }
            if (!Names.within(r.name(), zone.origin)) {
                return NOTZONE;
            }
            boolean inUse = !zone.at(r.name()).isEmpty();
            boolean exists = zone.get(r.name(), r.type()) != null;
            if (r.klass() == Rr.ANY || r.klass() == Rr.NONE) {
                if (r.data().length > 0) {
                    return FORMERR;
                }
                boolean wanted = r.klass() == Rr.ANY;
                if (r.type() == Rr.ANY && inUse != wanted) {
                    return wanted ? NXDOMAIN : YXDOMAIN;
                }
                if (r.type() != Rr.ANY && exists != wanted) {
                    return wanted ? NXRRSET : YXRRSET;
                }
            } else if (r.klass() == Rr.IN && !Rr.isMeta(r.type())) {
                values.computeIfAbsent(r.name() + "/" + r.type(), k -> new ArrayList<>()).add(r);
            } else {
                return FORMERR;
            }
        }
        for (List<Rr> wanted : values.values()) {
            RrSet set = zone.get(wanted.get(0).name(), wanted.get(0).type());
            if (set == null || !wanted.stream().allMatch(r -> set.holds(r.data()))
                    || !set.data().stream().allMatch(d -> wanted.stream().anyMatch(r -> r.sameData(d)))) {
                return NXRRSET;
            }
        }
        return NOERROR;
    }

    private static int prescan(List<Rr> records, Zone zone) {
        for (Rr r : records) {
            if (!Names.within(r.name(), zone.origin)) {
                return NOTZONE;
            }
            boolean fits = switch (r.klass()) {
                case Rr.IN -> !Rr.isMeta(r.type()) && r.data().length > 0;
                case Rr.ANY -> r.ttl() == 0 && r.data().length == 0 && (!Rr.isMeta(r.type()) || r.type() == Rr.ANY);
                case Rr.NONE -> r.ttl() == 0 && !Rr.isMeta(r.type());
                default -> false;
            };
            if (!fits) {
                return FORMERR;
            }
        }
        return NOERROR;
    }

    private static void update(Rr r, Zone zone) {
        boolean apex = r.name().equals(zone.origin);
        if (r.klass() == Rr.IN) {
            add(r, zone);
        } else if (r.klass() == Rr.ANY) {
            for (int type : List.copyOf(zone.at(r.name()).keySet())) {
                // The zone itself stays: its SOA and name servers are not deleted whole.
                if ((r.type() == Rr.ANY || r.type() == type) && !(apex && (type == Rr.SOA || type == Rr.NS))) {
                    zone.put(r.name(), type, null);
                }
            }
        } else {
            RrSet set = zone.get(r.name(), r.type());
            boolean last = set != null && set.data().size() == 1;
            if (r.type() != Rr.SOA && !(apex && r.type() == Rr.NS && last)) {
                zone.remove(r.name(), r.type(), r.data());
            }
        }
    }

    private static void add(Rr r, Zone zone) {
        boolean hasCname = zone.get(r.name(), Rr.CNAME) != null;
        if (r.type() == Rr.SOA) {
            if (r.name().equals(zone.origin) && Zone.later(Zone.serial(r.data()), zone.serial())) {
                zone.put(r.name(), Rr.SOA, new RrSet(r.ttl(), List.of(r.data())));
            }
        } else if (r.type() == Rr.CNAME) {
            if (hasCname || zone.at(r.name()).isEmpty()) {
                zone.put(r.name(), Rr.CNAME, new RrSet(r.ttl(), List.of(r.data())));
            }
        } else if (!hasCname) {
            zone.add(r);
        }
    }
}
