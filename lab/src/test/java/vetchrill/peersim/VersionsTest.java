package vetchrill.peersim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import vetchrill.versions.Version.Stage;

/** Stories of a simulated fleet that agrees on versions. Times are tenths of a millisecond. */
@Test
public class VersionsTest {
    private static final long LEASE = 20_000;
    private static final long EVERY = 2_000;
    private static final List<Stage> ALL = List.of(new Stage("", 1));

    private static VersionsWorld world(int size, int keepers, long seed) {
        VersionsWorld world = new VersionsWorld(size, keepers, 2, LEASE, EVERY, seed);
        world.until(10_000);
        return world;
    }

    private static void pass(VersionsWorld world, long span) {
        world.until(world.now() + span);
    }

    private static byte[] content(int kind) {
        return new byte[] {100, (byte) kind};
    }

    /** It deafs itself within a lease, and comes up by itself once it is heard again. */
    public void oneThatIsCutOffIsShutOutAndBroughtUp() {
        VersionsWorld world = world(6, 3, 1);
        world.part(6, 1 << 5);
        assertNull(world.publish(0, 1, content(1), "", ALL, 0));
        pass(world, 5_000);
        assertNull(world.floor(0, 1));
        pass(world, LEASE + 1_000);
        assertTrue(world.processes[5].versions.isFenced());
        assertEquals(world.processes[5].versions.activeNumber(), 0);
        world.heal();
        pass(world, 20_000);
        assertEquals(world.processes[5].versions.activeNumber(), 1);
        assertFalse(world.processes[5].versions.isFenced());
    }

    /** The only keeper has nobody to ask: it keeps the floor by itself, and all serve. */
    public void oneKeeperServesAndConfirmsByItself() {
        VersionsWorld world = world(3, 1, 9);
        for (VersionsWorld.Process each : world.processes) {
            assertFalse(each.versions.isFenced());
        }
        world.publish(1, 1, content(1), "", ALL, 0);
        pass(world, 10_000);
        assertNull(world.floor(2, 1));
        pass(world, 10_000);
        assertEquals(world.processes[2].versions.confirmedMinVersion(), 1);
    }

    /** Fewer than half of the keepers confirm nothing, and an instance that hears only those goes on for no longer. */
    public void aMinorityOfKeepersConfirmsNothing() {
        VersionsWorld world = world(6, 3, 2);
        world.publish(0, 1, content(1), "", ALL, 0);
        pass(world, 10_000);
        world.part(6, 0b000001);
        assertNull(world.floor(0, 1));
        pass(world, 10_000);
        assertEquals(world.processes[0].versions.confirmedMinVersion(), 0);
        pass(world, LEASE);
        assertTrue(world.processes[0].versions.isFenced());
        assertFalse(world.processes[3].versions.isFenced());
    }

    /** The keeper that has promised comes back knowing nothing: it promises nothing before the others have told it. */
    public void aKeeperWithoutItsDiskIsTaughtBeforeItAnswers() {
        VersionsWorld world = world(5, 3, 3);
        world.publish(0, 1, content(1), "", ALL, 0);
        pass(world, 10_000);
        world.floor(0, 1);
        pass(world, 10_000);
        assertEquals(world.processes[1].versions.confirmedMinVersion(), 1);
        assertTrue(world.loseDisk(1, null));
        world.part(5, 1 << 1);
        pass(world, 40_000);
        assertFalse(world.processes[1].versions.status().canVote());
        world.heal();
        pass(world, 20_000);
        assertTrue(world.processes[1].versions.status().canVote());
        assertEquals(world.disk(1).minVersion(), 1);
    }

    public void twoContentsUnderOneNumberAreFoundAndNeitherIsTakenFurther() {
        VersionsWorld world = world(7, 3, 4);
        world.part(7, 0b0110000);
        assertNull(world.publish(0, 1, content(1), "", ALL, 0));
        assertNull(world.publish(4, 1, content(2), "", ALL, 0));
        world.heal();
        pass(world, 30_000);
        for (VersionsWorld.Process each : world.processes) {
            assertFalse(each.versions.versions().get(0).stopReason().isEmpty(), "not known to be a fork");
        }
        assertNotNull(world.floor(0, 1));
        assertNull(world.publish(0, 2, content(3), "", ALL, 0));
        pass(world, 30_000);
        for (int i = 0; i < 6; i++) {
            assertEquals(world.processes[i].versions.activeNumber(), 2);
        }
    }

    /** One that refuses the content serves on by the old one, and is shut out by the floor, told why. */
    public void whoeverCantTakeItIsShutOutByTheFloorAlone() {
        VersionsWorld world = world(5, 3, 5);
        assertNull(world.publish(0, 1, new byte[] {4, 0}, "", ALL, 0));
        pass(world, 30_000);
        assertEquals(world.processes[3].versions.activeNumber(), 0);
        assertFalse(world.processes[3].versions.isFenced());
        assertEquals(world.processes[3].versions.status().rejectReason(), "not on this machine");
        assertNull(world.floor(0, 1));
        pass(world, 20_000);
        assertTrue(world.processes[3].versions.isFenced());
        assertNotNull(world.publish(3, 2, content(1), "", ALL, 0));
        assertNull(world.publish(0, 2, content(1), "", ALL, 0));
        pass(world, 30_000);
        assertFalse(world.processes[3].versions.isFenced());
    }

    /** A tenth of a zone first: whoever took it denies half of its exchanges, and the fleet stops it by itself. */
    public void aVersionThatFaresWorseIsStoppedByTheFleet() {
        VersionsWorld world = world(40, 3, 6);
        world.fare = (place, taken, now) -> {
            long all = now / 100;
            return new long[] {all, all * (taken == 1 ? 50 : 2 + place % 3) / 100, 0, 0};
        };
        assertNull(world.publish(0, 1, content(1), "", List.of(new Stage("", 0.2), new Stage("", 1)), 600_000));
        pass(world, 500_000);
        long took = 0;
        for (VersionsWorld.Process each : world.processes) {
            took += each.versions.activeNumber();
            assertTrue(each.versions.versions().get(0).stopReason().startsWith("denied"),
                    each.versions.versions().toString());
        }
        assertTrue(took > 0 && took < 20, took + " took it");
        pass(world, 800_000);
        assertTrue(world.told.stream().filter(each -> each.contains("TAKEN")).count() < 20);
    }

    public void aVersionThatFaresAlikeGoesThroughItsWaves() {
        VersionsWorld world = world(40, 3, 7);
        world.fare = (place, taken, now) -> {
            long all = now / 100;
            return new long[] {all, all * (2 + place % 9) / 100, 0, 0};
        };
        world.publish(0, 1, content(1), "", List.of(new Stage("", 0.2), new Stage("", 1)), 300_000);
        pass(world, 400_000);
        for (VersionsWorld.Process each : world.processes) {
            assertEquals(each.versions.activeNumber(), each.place % 7 == 6 ? 1 : 1);
        }
    }

    /** The publisher dies with its order half given: who heard of it tells the others. */
    public void aFloorOutlivesWhoeverOrderedIt() {
        VersionsWorld world = world(7, 5, 8);
        world.publish(6, 1, content(1), "", ALL, 0);
        pass(world, 10_000);
        world.part(7, 0b0000111);
        world.floor(6, 1);
        pass(world, 30);
        world.kill(6);
        pass(world, 30_000);
        world.part(7, 0);
        pass(world, 30_000);
        for (int i = 0; i < 6; i++) {
            assertEquals(world.processes[i].versions.confirmedMinVersion(), 1);
        }
    }
}
