package reeldeal.dns;

import reeldeal.dns.ZoneSuccession.Verdict;

/**
 * Decides when a secondary server contacts its primaries and what it requests (RFC 1034, section
 * 4.3.5; NOTIFY by RFC 1996). This state machine receives the time in milliseconds and the result
 * of each step, and returns the next step.
 */
public final class Secondary {
    private static final long MIN_MS = 1_000;
    private static final long MAX_BACKOFF_MS = 60_000;

    /**
     * The step to take next: nothing, query the SOA, request an incremental transfer (IXFR),
     * request a full transfer (AXFR), or stop serving the expired zone.
     */
    public enum Step {
        NOTHING,
        QUERY_SOA,
        REQUEST_IXFR,
        REQUEST_AXFR,
        EXPIRE
    }

    private final int primaries;
    private int primary;
    private long serial = ZoneSuccession.NO_SERIAL;
    private long refreshMs;
    private long retryMs;
    private long expireMs;
    private long confirmedAt;
    private long nextAt;
    private long backoffMs = MIN_MS;
    private boolean stepInProgress;
    private boolean checkAgain;
    private boolean expired;
    private boolean fullTransferNeeded;
    private boolean hasZone;

    /** Creates a secondary without a zone; its first transfer is due at once. */
    public Secondary(int primaries, long now) {
        this.primaries = primaries;
        this.nextAt = now;
    }

    /**
     * Starts with a stored zone that a primary last confirmed at {@code confirmed}, in ms; its
     * refresh is due at once.
     */
    public void restored(Zone zone, long confirmed) {
        readTimers(zone);
        confirmedAt = confirmed;
    }

    private void readTimers(Zone zone) {
        byte[] soa = zone.soa().data();
        serial = zone.serial();
        refreshMs = Math.max(MIN_MS, Zone.soaField(soa, 1) * 1_000);
        retryMs = Math.max(MIN_MS, Zone.soaField(soa, 2) * 1_000);
        expireMs = Math.max(MIN_MS, Zone.soaField(soa, 3) * 1_000);
        hasZone = true;
    }

    /** Returns the index of the primary to contact. */
    public int primary() {
        return primary;
    }

    /**
     * Returns whether the zone has expired. An expired zone answers no queries and lists no
     * searchers until a primary responds again.
     */
    public boolean expired() {
        return expired;
    }

    /** Returns when a primary last confirmed the zone, in ms. */
    public long confirmedAt() {
        return confirmedAt;
    }

    /** Returns the step that is due now, and marks it as in progress if it contacts a primary. */
    public Step tick(long now) {
        if (hasZone && !expired && now - confirmedAt >= expireMs) {
            expired = true;
            return Step.EXPIRE;
        }
        if (stepInProgress || now < nextAt) {
            return Step.NOTHING;
        }
        stepInProgress = true;
        checkAgain = false;
        return hasZone ? Step.QUERY_SOA : Step.REQUEST_AXFR;
    }

    /**
     * Handles a NOTIFY from a primary; {@code newSerial} is below 0 if unknown. Returns whether the
     * primary will be contacted.
     */
    public boolean notified(long now, long newSerial) {
        if (hasZone && !expired && newSerial >= 0 && judge(newSerial) != Verdict.NEWER) {
            return false;
        }
        if (stepInProgress) {
            checkAgain = true; // RFC 1996, section 4.4: check once more after the current step
        } else {
            nextAt = now;
        }
        return true;
    }

    /**
     * Judges a copy that a primary offers, or has sent. An expired zone is not replaced by an older
     * copy either: its searchers stay out of service, and must not come back with that copy.
     */
    public Verdict judge(long offeredSerial) {
        return ZoneSuccession.judge(ZoneSuccession.Arrival.TRANSFER, serial, offeredSerial);
    }

    /**
     * Handles the serial of the primary's SOA and returns the next step. An older serial does not
     * confirm the local zone; another primary is asked.
     */
    public Step soaReceived(long now, long primarySerial) {
        switch (judge(primarySerial)) {
            case NEWER -> {
                return hasZone && !fullTransferNeeded ? Step.REQUEST_IXFR : Step.REQUEST_AXFR;
            }
            case SAME -> confirmed(now);
            case OLDER -> failed(now);
            default -> throw new IllegalStateException();
        }
        return Step.NOTHING;
    }

    /** Handles a transferred zone that has been installed. */
    public void installed(long now, Zone zone) {
        readTimers(zone);
        confirmed(now);
    }

    /** Records that a primary confirmed the local zone as its latest version. */
    public void confirmed(long now) {
        confirmedAt = now;
        expired = false;
        fullTransferNeeded = false;
        backoffMs = MIN_MS;
        finishStep(checkAgain ? now : now + refreshMs);
    }

    /**
     * Handles an incremental transfer that could not be applied: a full transfer is due at once
     * (RFC 1995, section 4), from whichever primary then has a newer copy.
     */
    public void incrementalTransferFailed(long now) {
        fullTransferNeeded = true;
        finishStep(now);
    }

    /**
     * Handles a failed step: selects the next primary and retries with exponential backoff, at the
     * latest after the retry interval of the SOA if there is a zone.
     */
    public void failed(long now) {
        primary = (primary + 1) % primaries;
        long delayMs = hasZone ? Math.min(retryMs, backoffMs) : backoffMs;
        backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        finishStep(checkAgain ? now : now + delayMs);
    }

    private void finishStep(long nextStepAt) {
        stepInProgress = false;
        nextAt = nextStepAt;
    }

    /** Returns when {@link #tick} is next due, in ms. */
    public long nextAt() {
        long expiry = hasZone && !expired ? confirmedAt + expireMs : Long.MAX_VALUE;
        return stepInProgress ? expiry : Math.min(nextAt, expiry);
    }
}
