package reeldeal.consensus;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * The conditions of one simulation, drawn from its seed.
 *
 * @param leaderStorm whether leaders crash soon after their election; messages then carry one entry
 *     each and are often lost, so that entries have reached only some of the nodes
 * @param voters the number of voters at the start
 * @param settings the settings of all nodes
 * @param clockJumps whether ticks are missed or come in bursts; never combined with leases, which
 *     rely on accurate clocks
 * @param slowDisks whether some disk requests are slow
 * @param longDelays whether some messages are delayed for long
 * @param rates how many messages are lost and how often nodes compact their logs
 */
record SimulatedConditions(
        boolean leaderStorm,
        int voters,
        RaftSettings settings,
        boolean clockJumps,
        boolean slowDisks,
        boolean longDelays,
        Rates rates) {

    /**
     * The percentage of lost messages, and the number of entries after which a node compacts its
     * log.
     */
    record Rates(int lossPercent, int compactEvery) {}

    /**
     * Draws the conditions. A seed reproduces them only while the order of the draws stays the
     * same.
     */
    static SimulatedConditions draw(UniformRandomProvider random) {
        boolean leaderStorm = random.nextInt(4) == 0;
        int voters = leaderStorm ? 5 : 3 + 2 * random.nextInt(3);
        int leaseTicks = !leaderStorm && random.nextInt(4) == 0 ? 4 : 0;
        int messageBytes = leaderStorm || random.nextInt(3) == 0 ? 1 : 20 + random.nextInt(200);
        RaftSettings settings =
                new RaftSettings(10, 2, leaseTicks, messageBytes, 1 + random.nextInt(8));
        boolean clockJumps = leaseTicks == 0 && random.nextBoolean();
        boolean slowDisks = random.nextBoolean();
        boolean longDelays = random.nextBoolean();
        int loss =
                leaderStorm
                        ? 20 + random.nextInt(30)
                        : random.nextInt(4) == 0 ? 0 : random.nextInt(20);
        Rates rates = new Rates(loss, 5 + random.nextInt(40));
        return new SimulatedConditions(
                leaderStorm, voters, settings, clockJumps, slowDisks, longDelays, rates);
    }
}
