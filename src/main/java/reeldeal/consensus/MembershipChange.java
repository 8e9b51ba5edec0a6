package reeldeal.consensus;

/**
 * Holds the group's current configuration. A configuration takes effect as soon as its entry is in
 * the log, whether or not it is committed (thesis, section 4.1).
 */
final class MembershipChange {
    private final RaftLog log;
    private final RaftRules rules;
    private GroupConfiguration configuration;
    private long configurationIndex;

    MembershipChange(RaftLog log, RaftRules rules) {
        this.log = log;
        this.rules = rules;
        reload();
    }

    GroupConfiguration configuration() {
        return configuration;
    }

    /** Reads the configuration from the log again, after the log has changed. */
    void reload() {
        configuration = log.configuration();
        configurationIndex = log.configurationIndex();
    }

    /**
     * Reads the configuration from the log again if the entry that sets it has changed, as after a
     * truncation.
     */
    void reloadIfChanged() {
        if (log.configurationIndex() != configurationIndex) {
            reload();
        }
    }

    boolean isCommitted() {
        return configurationIndex <= log.commitIndex();
    }

    /** Whether a leader may propose this configuration now. */
    boolean mayChangeTo(GroupConfiguration proposed, boolean committedInCurrentTerm) {
        return rules.mayChangeConfiguration(
                configuration, proposed, isCommitted(), committedInCurrentTerm);
    }
}
