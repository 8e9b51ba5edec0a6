package reeldeal.fleet.recovery;

/** The source of each item of state after an outage, and the maximum age at which it is trusted. */
public enum StateTrustPolicy {
    /** The copy on this disk until the group's is known; a broker cannot serve without one. */
    CONFIGURATION(Source.DISK),
    /** The copy on this disk, until later data of discovery or of a primary replaces it. */
    ZONES(Source.DISK),
    /** Read again from the file of overrides. */
    ADMINISTRATIVE_OVERRIDES(Source.DISK),
    /** The copy on this disk, also while this node is not current: a drain outlives an outage. */
    DRAINS(Source.DISK),
    /** Read from the store, since only conditional writes grant permits. */
    POLICY(Source.MAJORITY),
    /** Kept until there is evidence of the holder's return; an outage is not such evidence. */
    PERMITS(Source.MAJORITY),
    /** Read from the store; the write that begins the recovery halts a release. */
    RELEASE(Source.MAJORITY),
    /**
     * Not kept: each process registers again. Old leases expire after a whole term, since the new
     * leader has not heard their holders.
     */
    LEASES(Source.DROP),
    /** Kept up to a maximum age, only for a searcher that has not restarted. */
    EJECTIONS(Source.AGE, 600_000),
    /** Kept up to a maximum age, only for a searcher that has not restarted. */
    LATENCY_ESTIMATES(Source.AGE, 600_000),
    /** Requested from discovery and zones: the earlier list may name searchers that are gone. */
    SEARCHERS(Source.REQUEST),
    /**
     * Run again only within the deduplication window and if no searcher of the request's shards has
     * restarted; otherwise the outcome is unknown.
     */
    OPEN_REQUESTS(Source.MAJORITY),
    /** Returned to clients as recorded, for as long as the store keeps them. */
    OUTCOMES(Source.MAJORITY),
    /** Not kept: a client connects again. */
    CONNECTIONS(Source.DROP),
    /** Not kept: the on-time share is counted from zero at each step. */
    COUNTS(Source.DROP);

    /** The source of an item of state. */
    public enum Source {
        /** The copy on this node's disk. */
        DISK,
        /** The store, once a majority confirms that it is current. */
        MAJORITY,
        /** State known from before the outage, up to a maximum age. */
        AGE,
        /** A new request to peers, searchers or discovery. */
        REQUEST,
        /** No source: the item is discarded. */
        DROP
    }

    private final Source source;
    private final long maxAgeMs;

    StateTrustPolicy(Source source) {
        this(source, 0);
    }

    StateTrustPolicy(Source source, long maxAgeMs) {
        this.source = source;
        this.maxAgeMs = maxAgeMs;
    }

    /** Returns the source of this item. */
    public Source source() {
        return source;
    }

    /** Returns the maximum age at which this item is trusted, ms; 0 if its age does not matter. */
    public long maxAgeMs() {
        return maxAgeMs;
    }
}
