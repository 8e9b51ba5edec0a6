package reeldeal.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import reeldeal.decision.DecisionModule.EndpointListKind;
import reeldeal.decision.DecisionModule.EndpointState;
import reeldeal.decision.DecisionModule.Layout;
import reeldeal.decision.DecisionModule.Server;

class ServerRegistryTest {
    private final EventClock clock = new EventClock(1000, 5);
    private final ServerRegistry registry =
            new ServerRegistry(clock, new Layout(3, 2, 8, 50), 10_000);

    private void change(long id, int cell, double startedMs, EndpointState state) {
        Server entry = DecisionFixture.server(id, cell, startedMs, state);
        registry.update(EndpointListKind.CHANGES, List.of(entry));
    }

    private List<Long> replicasOf(int shard) {
        return registry.replicasOf(shard).stream().map(server -> server.id).toList();
    }

    @Test
    void aShardIsHeldByConsecutiveCells() {
        change(10, 0, 0, EndpointState.READY);
        change(11, 1, 0, EndpointState.READY);
        change(12, 2, 0, EndpointState.READY);
        assertEquals(List.of(10L, 11L), replicasOf(0));
        assertEquals(List.of(12L, 10L), replicasOf(5));
    }

    @Test
    void drainingServersAreNotReplicas() {
        change(10, 0, 0, EndpointState.READY);
        change(10, 0, 0, EndpointState.DRAINING);
        assertEquals(List.of(), replicasOf(0));
        assertFalse(registry.find(10).ready);
    }

    @Test
    void serversMissingFromACompleteListAreNotReady() {
        change(10, 0, 0, EndpointState.READY);
        Server other = DecisionFixture.server(11, 1, 0, EndpointState.READY);
        registry.update(EndpointListKind.COMPLETE, List.of(other));
        assertFalse(registry.find(10).ready);
        assertTrue(registry.find(11).ready);
    }

    @Test
    void aNewProcessGetsNewStateAndIsNotTrustedYet() {
        change(10, 0, 500, EndpointState.READY);
        ServerState before = registry.find(10);
        change(10, 0, 500, EndpointState.READY);
        assertSame(before, registry.find(10));
        change(10, 0, 900, EndpointState.READY);
        assertNotSame(before, registry.find(10));
        assertTrue(before.health.trusted);
        assertFalse(registry.find(10).health.trusted);
    }

    @Test
    void aRemovedServerIsForgottenAfterTheRetentionTime() {
        change(10, 0, 0, EndpointState.READY);
        change(10, 0, 0, EndpointState.REMOVED);
        clock.advance(11_000, false);
        change(11, 1, 0, EndpointState.READY);
        assertFalse(registry.find(10).ready);
        clock.advance(11_001, false);
        change(11, 1, 0, EndpointState.READY);
        assertNull(registry.find(10));
    }
}
