package reeldeal.consensus;

/**
 * One entry of the log.
 *
 * @param index the position in the log, starting at 1
 * @param term the term of the leader that appended it
 * @param data the command; empty in the entry that a leader appends when its term begins, and in an
 *     entry that changes the configuration
 * @param configuration the group's configuration from this entry on, or null if this entry does not
 *     change it
 */
public record Entry(long index, long term, byte[] data, GroupConfiguration configuration) {}
