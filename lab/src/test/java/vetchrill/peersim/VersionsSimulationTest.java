package vetchrill.peersim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import vetchrill.versions.Version.Stage;

/** Agreement on versions in a simulated fleet. Times are tenths of a millisecond. */
@Test
public class VersionsSimulationTest {
    private static final long LEASE_TENTHS_MS = 20_000;
    private static final long GOSSIP_PERIOD_TENTHS_MS = 2_000;
    private static final List<Stage> ALL_AT_ONCE = List.of(new Stage("", 1));

    private static VersionsSimulation simulation(int size, int voters, long seed) {
        VersionsSimulation simulation = new VersionsSimulation(size, voters, 2, LEASE_TENTHS_MS,
                GOSSIP_PERIOD_TENTHS_MS, seed);
        simulation.advanceTo(10_000);
        return simulation;
    }

    private static void advance(VersionsSimulation simulation, long duration) {
        simulation.advanceTo(simulation.now() + duration);
    }

    private static byte[] content(int kind) {
        return new byte[] {100, (byte) kind};
    }

    /** It is fenced within a lease, and activates the version by itself once the partition heals. */
    public void partitionedInstanceIsFencedAndCatchesUp() {
        VersionsSimulation simulation = simulation(6, 3, 1);
        simulation.partition(6, 1 << 5);
        assertNull(simulation.publish(0, 1, content(1), "", ALL_AT_ONCE, 0));
        advance(simulation, 5_000);
        assertNull(simulation.setMinVersion(0, 1));
        advance(simulation, LEASE_TENTHS_MS + 1_000);
        assertTrue(simulation.processes[5].manager.isFenced());
        assertEquals(simulation.processes[5].manager.activeNumber(), 0);
        simulation.heal();
        advance(simulation, 20_000);
        assertEquals(simulation.processes[5].manager.activeNumber(), 1);
        assertFalse(simulation.processes[5].manager.isFenced());
    }

    /** A single voter is a majority: it confirms the minimum version alone, and all instances serve. */
    public void singleVoterServesAndConfirmsAlone() {
        VersionsSimulation simulation = simulation(3, 1, 9);
        for (VersionsSimulation.Process each : simulation.processes) {
            assertFalse(each.manager.isFenced());
        }
        simulation.publish(1, 1, content(1), "", ALL_AT_ONCE, 0);
        advance(simulation, 10_000);
        assertNull(simulation.setMinVersion(2, 1));
        advance(simulation, 10_000);
        assertEquals(simulation.processes[2].manager.confirmedMinVersion(), 1);
    }

    /** An instance that reaches only a minority of the voters is fenced once its lease runs out. */
    public void minorityOfVotersConfirmsNothing() {
        VersionsSimulation simulation = simulation(6, 3, 2);
        simulation.publish(0, 1, content(1), "", ALL_AT_ONCE, 0);
        advance(simulation, 10_000);
        simulation.partition(6, 0b000001);
        assertNull(simulation.setMinVersion(0, 1));
        advance(simulation, 10_000);
        assertEquals(simulation.processes[0].manager.confirmedMinVersion(), 0);
        advance(simulation, LEASE_TENTHS_MS);
        assertTrue(simulation.processes[0].manager.isFenced());
        assertFalse(simulation.processes[3].manager.isFenced());
    }

    /** A voter that comes back without its disk must not vote before it has its promises back from the others. */
    public void voterWithoutItsDiskRecoversBeforeItVotes() {
        VersionsSimulation simulation = simulation(5, 3, 3);
        simulation.publish(0, 1, content(1), "", ALL_AT_ONCE, 0);
        advance(simulation, 10_000);
        simulation.setMinVersion(0, 1);
        advance(simulation, 10_000);
        assertEquals(simulation.processes[1].manager.confirmedMinVersion(), 1);
        assertTrue(simulation.loseDisk(1, null));
        simulation.partition(5, 1 << 1);
        advance(simulation, 40_000);
        assertFalse(simulation.processes[1].manager.status().canVote());
        simulation.heal();
        advance(simulation, 20_000);
        assertTrue(simulation.processes[1].manager.status().canVote());
        assertEquals(simulation.persistedState(1).minVersion(), 1);
    }

    public void conflictingContentsAreDetectedAndNoLongerActivated() {
        VersionsSimulation simulation = simulation(7, 3, 4);
        simulation.partition(7, 0b0110000);
        assertNull(simulation.publish(0, 1, content(1), "", ALL_AT_ONCE, 0));
        assertNull(simulation.publish(4, 1, content(2), "", ALL_AT_ONCE, 0));
        simulation.heal();
        advance(simulation, 30_000);
        for (VersionsSimulation.Process each : simulation.processes) {
            assertFalse(each.manager.versions().get(0).stopReason().isEmpty(), "the conflict is not detected");
        }
        assertNotNull(simulation.setMinVersion(0, 1));
        assertNull(simulation.publish(0, 2, content(3), "", ALL_AT_ONCE, 0));
        advance(simulation, 30_000);
        for (int i = 0; i < 6; i++) {
            assertEquals(simulation.processes[i].manager.activeNumber(), 2);
        }
    }

    /** It serves on by the old version and reports why; the minimum version fences it until a version it accepts. */
    public void instanceThatRejectsAVersionIsFencedByTheMinVersionOnly() {
        VersionsSimulation simulation = simulation(5, 3, 5);
        assertNull(simulation.publish(0, 1, new byte[] {4, 0}, "", ALL_AT_ONCE, 0));
        advance(simulation, 30_000);
        assertEquals(simulation.processes[3].manager.activeNumber(), 0);
        assertFalse(simulation.processes[3].manager.isFenced());
        assertEquals(simulation.processes[3].manager.status().rejectReason(), "not on this machine");
        assertNull(simulation.setMinVersion(0, 1));
        advance(simulation, 20_000);
        assertTrue(simulation.processes[3].manager.isFenced());
        assertNotNull(simulation.publish(3, 2, content(1), "", ALL_AT_ONCE, 0));
        assertNull(simulation.publish(0, 2, content(1), "", ALL_AT_ONCE, 0));
        advance(simulation, 30_000);
        assertFalse(simulation.processes[3].manager.isFenced());
    }

    /**
     * In the first stage, a fifth of each zone, the instances with the new version deny half of their exchanges: the
     * fleet stops the rollout by itself.
     */
    public void versionWithWorseOutcomesIsStoppedByTheFleet() {
        VersionsSimulation simulation = simulation(40, 3, 6);
        simulation.exchangeCounters = (index, activeVersion, now) -> {
            long all = now / 100;
            return new long[] {all, all * (activeVersion == 1 ? 50 : 2 + index % 3) / 100, 0, 0};
        };
        assertNull(simulation.publish(0, 1, content(1), "", List.of(new Stage("", 0.2), new Stage("", 1)), 600_000));
        advance(simulation, 500_000);
        long activated = 0;
        for (VersionsSimulation.Process each : simulation.processes) {
            activated += each.manager.activeNumber();
            assertTrue(each.manager.versions().get(0).stopReason().startsWith("denied"),
                    each.manager.versions().toString());
        }
        assertTrue(activated > 0 && activated < 20, activated + " activated it");
        advance(simulation, 800_000);
        assertTrue(simulation.reports.stream().filter(each -> each.contains("TAKEN")).count() < 20);
    }

    public void versionWithSimilarOutcomesGoesThroughItsStages() {
        VersionsSimulation simulation = simulation(40, 3, 7);
        simulation.exchangeCounters = (index, activeVersion, now) -> {
            long all = now / 100;
            return new long[] {all, all * (2 + index % 9) / 100, 0, 0};
        };
        simulation.publish(0, 1, content(1), "", List.of(new Stage("", 0.2), new Stage("", 1)), 300_000);
        advance(simulation, 400_000);
        for (VersionsSimulation.Process each : simulation.processes) {
            assertEquals(each.manager.activeNumber(), each.index % 7 == 6 ? 1 : 1);
        }
    }

    /** Its setter dies when only some have received it: they pass it on to the others. */
    public void minVersionSurvivesTheInstanceThatSetIt() {
        VersionsSimulation simulation = simulation(7, 5, 8);
        simulation.publish(6, 1, content(1), "", ALL_AT_ONCE, 0);
        advance(simulation, 10_000);
        simulation.partition(7, 0b0000111);
        simulation.setMinVersion(6, 1);
        advance(simulation, 30);
        simulation.kill(6);
        advance(simulation, 30_000);
        simulation.partition(7, 0);
        advance(simulation, 30_000);
        for (int i = 0; i < 6; i++) {
            assertEquals(simulation.processes[i].manager.confirmedMinVersion(), 1);
        }
    }
}
