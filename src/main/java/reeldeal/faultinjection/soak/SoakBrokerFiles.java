package reeldeal.faultinjection.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Writes the configuration files of a broker of the soak.
 *
 * @param folder the folder of all files
 * @param index the broker's index; its name is "n" and the index
 */
record SoakBrokerFiles(Path folder, int index) {
    /** The time limits of the classes of requests, ms. */
    record Deadlines(int longestMs, int shortestMs) {}

    /** The numbers of brokers, of groups of searchers, and of shards. */
    record Topology(int brokers, int cells, int shards) {}

    /** The rules of slow start and of overload that a configuration tells. */
    record SlowStartRules(double share, int durationMs, double overloadFactor, int windowMs) {}

    /**
     * What all brokers of a run share.
     *
     * @param maxSockets the limit of a broker's descriptors
     * @param knownSearchers the list of searchers at the start, as JSON
     */
    record Shared(
            Topology topology,
            int maxSockets,
            int deduplicationWindowMs,
            int drainGraceMs,
            Deadlines deadlines,
            SlowStartRules slowStart,
            String knownSearchers) {}

    private String name() {
        return "n" + index;
    }

    /** Writes the broker's configuration and returns its path. */
    Path writeConfig(int port, int discoveryPort, long seed, Shared shared) throws IOException {
        Path file = folder.resolve(name() + ".json").toAbsolutePath();
        Files.writeString(file, config(port, discoveryPort, seed, shared));
        return file;
    }

    /** Writes the configuration of the broker's store and returns its path. */
    Path writeStoreConfig(int firstOfGroup, List<Integer> storePorts) throws IOException {
        List<String> nodes = new ArrayList<>();
        for (int i = 0; i < storePorts.size(); i++) {
            nodes.add("\"n" + (firstOfGroup + i) + "\":\"127.0.0.1:" + storePorts.get(i) + "\"");
        }
        Path file = folder.resolve(name() + ".store.json").toAbsolutePath();
        Files.writeString(
                file,
                String.format(
                        "{\"group\":\"soak%d\",\"node\":\"%s\",\"folder\":\"%s\",\"nodes\":{%s},"
                                + "\"fleet\":{\"zone\":\"a\"}}",
                        firstOfGroup,
                        name(),
                        folder.resolve("state-" + name()).toAbsolutePath(),
                        String.join(",", nodes)));
        return file;
    }

    private String config(int port, int discoveryPort, long seed, Shared shared) {
        int longestMs = shared.deadlines().longestMs();
        int shortestMs = shared.deadlines().shortestMs();
        return String.format(
                """
                {"name":"%s","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"%016x",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
                 "known":%s,
                 "settings":{
                  "Categories":[
                   {"Name":"audit-report","AimMs":%d,"HardLimitMs":%d,"LateWorth":0.1,"Semantics":"repeatable","WindowMs":5000,"Worth":3,"Stream":false},
                   {"Name":"notice-search","AimMs":%d,"HardLimitMs":%d,"LateWorth":0.1,"Semantics":"repeatable","WindowMs":5000,"Worth":1,"Stream":false},
                   {"Name":"bid-mark","AimMs":%d,"HardLimitMs":%d,"LateWorth":0.3,"Semantics":"by_key","WindowMs":%d,"Worth":2,"Stream":false}],
                  "Discovery":"pushed","Family":"fanout",
                  "FamilyInfo":{"Batch":4,"Cells":%d,"ClassFetch":[2,0,0],"CompleteFrom":[1,1,1],"InARow":1,"LeastShare":[1,1,1],"PartialEarns":[0.9,0.9,0.9],"PerCallWorkMs":0,"Ranges":%d,"WarmKeys":false},
                  "Instances":%d,"Kinds":["std"],"MyZone":0,"Orgs":[],"OverShareWorth":0.1,"PeriodMs":5,
                  "PolicyLimits":{"Cancel":true,"ConnIdleMs":5000,"DialTimeoutMs":250,"MaxAttempts":4,"MaxRetryAfterMs":1000,"MostHeld":200,"Probing":true,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":32},
                  "Rules":{"ColdFrom":%s,"ColdMs":%d,"DrainGraceMs":%d,"FallMs":%d,"FallMultiple":%s,"GraceToAnswerMs":20},
                  "SelfIndex":%d,"Telemetry":{"Columns":[],"Via":"none"},"Zones":["a"]}}
                """,
                name(),
                port,
                discoveryPort,
                seed,
                shared.maxSockets(),
                shared.knownSearchers(),
                longestMs / 3,
                longestMs,
                shortestMs / 3,
                shortestMs,
                shortestMs / 3,
                shortestMs + 300,
                shared.deduplicationWindowMs(),
                shared.topology().cells(),
                shared.topology().shards(),
                shared.topology().brokers(),
                shared.slowStart().share(),
                shared.slowStart().durationMs(),
                shared.drainGraceMs(),
                shared.slowStart().windowMs(),
                shared.slowStart().overloadFactor(),
                index);
    }
}
