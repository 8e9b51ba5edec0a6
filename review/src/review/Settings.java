package review;

/** The configuration of a broker with the figures of the site hanke-tallinn. */
final class Settings {
    static final int CELLS = 4;

    private Settings() {}

    /** Returns the configuration; a discovery port of 0 leaves discovery out. */
    static String broker(String name, int port, int discoveryPort, int index) {
        return String.format(
                """
                {"name": "%s", "listen": "127.0.0.1:%d", %s"seed": "8c1f30d27a5be96%d",
                 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                 "known": {"index": 1, "snapshot": true, "endpoints": []},
                 "settings": {
                  "Categories": [
                   {"Name": "audit-report", "AimMs": 4000, "HardLimitMs": 12000, "LateWorth": 0.1, "Semantics": "repeatable", "WindowMs": 5000, "Worth": 3, "Stream": false},
                   {"Name": "notice-search", "AimMs": 1500, "HardLimitMs": 4000, "LateWorth": 0.1, "Semantics": "repeatable", "WindowMs": 5000, "Worth": 1, "Stream": false},
                   {"Name": "bid-mark", "AimMs": 1500, "HardLimitMs": 5000, "LateWorth": 0.3, "Semantics": "by_key", "Group": "all", "WindowMs": 2500, "Worth": 2, "Stream": false}],
                  "Clients": {"MarksRetry": false},
                  "Discovery": "pushed", "Family": "fanout",
                  "FamilyInfo": {"Batch": 4, "Cells": 4, "ClassFetch": [3, 0, 0], "CompleteFrom": [1, 1, 1], "InARow": 1, "LeastShare": [1, 1, 1], "PartialEarns": [0.9, 0.9, 0.9], "PerCallWorkMs": 68, "Ranges": 12, "WarmKeys": false},
                  "Instances": 3, "Kinds": ["std-10", "std-08"], "MyZone": %d, "Orgs": [], "OverShareWorth": 0.1, "PeriodMs": 5,
                  "PolicyLimits": {"Cancel": true, "ConnIdleMs": 30000, "CpuUsPerS": 400000, "DialTimeoutMs": 250, "MaxAttempts": 4, "MaxRetryAfterMs": 1000, "MayTell": false, "MostHeld": 140, "Probing": true, "RetryAfter": true, "SecondCopies": false, "StreamsPerConn": 32},
                  "Rules": {"ColdFrom": 0.18, "ColdMs": 18000, "DrainGraceMs": 500, "FallMs": 3000, "FallMultiple": 2.5, "GraceToAnswerMs": 20, "MustAskInMs": 10000},
                  "SelfIndex": %d, "Telemetry": {"Columns": ["cpu", "waiting"], "Via": "probe"},
                  "Tier": 0, "Tiers": ["otsing-pool"], "ValueBy": "work", "Weights": "none",
                  "Zones": ["tln-lasna", "tln-ylemiste", "tartu-raadi"]}}
                """,
                name, port, discovery(discoveryPort), index, index % 3, index);
    }

    private static String discovery(int port) {
        return port == 0 ? "" : "\"discovery\": \"127.0.0.1:" + port + "\", ";
    }

    static String zone(int index) {
        return new String[] {"tln-lasna", "tln-ylemiste", "tartu-raadi"}[index % 3];
    }

    static String kind(int index) {
        return index % 2 == 0 ? "std-10" : "std-08";
    }
}
