package reeldeal.store;

import java.util.SplittableRandom;

/**
 * The name of a node, and the name of its present incarnation, which is the prefix of its sessions'
 * names.
 */
record NodeIdentity(String node, String session) {
    private static final int RADIX = 36;

    /**
     * Returns an identity with a new incarnation name: the node's name, the time and a random
     * number make it unique.
     */
    static NodeIdentity ofNewIncarnation(String node) {
        String session =
                node
                        + ":"
                        + Long.toString(System.currentTimeMillis(), RADIX)
                        + Long.toString(new SplittableRandom().nextLong() >>> 1, RADIX);
        return new NodeIdentity(node, session);
    }
}
