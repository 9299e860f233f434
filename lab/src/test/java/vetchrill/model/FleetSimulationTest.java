package vetchrill.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.annotations.Test;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.FleetFileReader;
import vetchrill.fleet.Fault;
import vetchrill.hcl.ConfigBlock;
import vetchrill.planner.SimulationRunner;

/** Stories with answers that can be worked out by hand. */
@Test
public class FleetSimulationTest {
    static final int S = ServiceStatistics.SECOND_TENTHS_MS;

    /** {@code relays} in each of two zones, each with a core; works of exactly 50 ms, readings of 10. */
    static Fleet fleet(int relays, double perS, String more) {
        return FleetFileReader.read(ConfigBlock.parse("f.hcl",
                "kind \"k\" {\n cores = 1\n reading_ms = 10\n crowd_from = 100\n"
                + " crowd_loss = 0\n memory_mb = 100\n cold_share = 0.5\n warm_up_ms = 2000\n}\n"
                + "zone \"a\" { relays = { k = " + relays + " } }\nzone \"b\" { relays = { k = " + relays + " } }\n"
                + "group \"g\" {\n slo_ms = 400\n timeout_ms = 1000\n share = 1\n work_ms = 50\n work_cv = 0\n"
                + " memory_kb = 10\n}\nstubs \"s\" {\n count = 2\n habit = \"round\"\n}\n"
                + "subjects {\n distinct = 10\n skew = 0\n}\nload { per_s = " + perS + " }\n"
                + "rules {\n stop_ms = 3000\n grace_ms = 1000\n}\ndeploy {\n batch = 0.5\n gap_ms = 500\n}\n" + more));
    }

    private static SimulationResult run(Fleet fleet, long span, long seed) {
        return new FleetSimulation(fleet, new Workload.ConfiguredWorkload(fleet), span, 0, seed, new TimingWheelQueue())
                .run();
    }

    public void withNoLoadNothingHappensToAnybody() {
        SimulationResult run = run(fleet(1, 0, ""), 5 * S, 1);
        assertTrue(Double.isNaN(run.statistics().service(0, 5)));
        assertEquals(run.peakUsage().meanCoreUsage, 0.0);
        assertEquals(run.statistics().completed(), 0);
    }

    /** Ten a second of 60 ms each on two cores: 30% busy, a sixth of that by reading, and nothing late. */
    public void aLightLoadIsServedWholeAndKeepsTheCoresAsBusyAsItMust() {
        SimulationResult run = run(fleet(1, 10, ""), 60 * S, 1);
        assertEquals(run.statistics().service(0, 60), 1.0, 0.002);
        assertEquals(run.peakUsage().meanCoreUsage, 10 * 0.060 / 2, 0.03);
        assertEquals(run.peakUsage().readingShare, 10 * 0.010 / 2, 0.005);
        assertEquals(run.statistics().retryFactor(0, 60), 1.0);
    }

    /**
     * Twice what the cores can do: each denial costs a reading, so that d completed leave (2000 - 10 * 66.7) / 50 =
     * 26.7.
     */
    public void anOverloadCompletesWhatIsLeftAfterReading() {
        double perS = 2 * 2 / 0.060;
        SimulationResult run = run(fleet(1, perS, ""), 30 * S, 1);
        double most = (2 - perS * 0.010) / 0.050;
        double completed = run.statistics().completed() / 30.0;
        assertTrue(completed < most * 1.02 && completed > most * 0.8, completed + " of " + most + " a second");
    }

    public void allZonesLostMeansNoService() {
        Fleet fleet = fleet(1, 10, "").withFaults(List.of(new Fault.ZoneLoss(5 * S, Long.MAX_VALUE, Set.of("a", "b"))));
        SimulationResult run = run(fleet, 10 * S, 1);
        assertEquals(run.statistics().service(0, 4), 1.0);
        assertEquals(run.statistics().service(6, 10), 0.0);
    }

    /** Half of the fleet gone, half of the load fits in what is left: only what was in it, or sent to it, is lost. */
    public void oneOfTwoZonesCanBeLostAtHalfTheLoad() {
        Fleet fleet = fleet(2, 20, "").withFaults(List.of(new Fault.ZoneLoss(5 * S, 12 * S, Set.of("a"))));
        SimulationResult run = run(fleet, 20 * S, 1);
        assertTrue(run.statistics().service(6, 12) > 0.97, "while it is gone: " + run.statistics().service(6, 12));
        assertTrue(run.statistics().service(14, 20) > 0.99, "when it is back: " + run.statistics().service(14, 20));
    }

    public void aRollingDeployLosesNothingAtALightLoad() {
        Fleet fleet = fleet(2, 12, "").withFaults(List.of(new Fault.RollingDeploy(2 * S)));
        SimulationResult run = run(fleet, 20 * S, 1);
        assertEquals(run.peakUsage().openAtStop, 0);
        assertEquals(run.batchStarts().size(), 2);
        // Half of it is cold at a time: what is a little late then is all.
        assertTrue(run.statistics().service(0, 20) > 0.97, "service " + run.statistics().service(0, 20));
    }

    public void retriesWithoutLimitInflateAnOverload() {
        Fleet once = fleet(2, 100, "");
        Fleet again = once.withPools(once.pools.stream().map(pool -> new Fleet.StubPool(pool.name(), pool.count(),
                pool.balancing(), Fleet.RetryPolicy.UNLIMITED, 2, 0, 0, 0, "")).toList());
        assertEquals(run(once, 10 * S, 1).statistics().retryFactor(2, 10), 1.0);
        assertTrue(run(again, 10 * S, 1).statistics().retryFactor(2, 10) > 2);
    }

    private static double withSlots(int slots) {
        String calls = "tier \"t\" {\n slots = " + slots + "\n work_ms = 100\n work_cv = 0\n}\n";
        Fleet none = fleet(1, 20, calls);
        Fleet all = none.withFitted(none.kinds, none.groups.stream().map(group -> new Fleet.Group(group.name(),
                group.effect(), group.sloTime(), group.asyncTimeout(), 1, 0, 1, group.coreTime(), 0, 10, 0, 1, 0))
                .toList(),
                none.load, none.subjects);
        return run(all, 10 * S, 1).statistics().service(0, 10);
    }

    /**
     * Twenty calls a second of 100 ms: two in hand in the mean. Twenty slots are plenty, one is half of it at the
     * most.
     */
    public void aSharedTierWithoutSlotsFailsWhatNeedsIt() {
        assertTrue(withSlots(20) > 0.95, "with many " + withSlots(20));
        assertTrue(withSlots(1) < 0.5, "with one " + withSlots(1));
    }

    public void whatComesOutHangsOnTheSeedAndNotOnTheThreads() {
        Fleet fleet = fleet(3, 90, "").withFaults(List.of(new Fault.Crash(3 * S, 6 * S, 0.5)));
        String alone = played(fleet, 1);
        assertEquals(played(fleet, 4), alone);
        assertEquals(alone.split(" ").length, 6);
        assertTrue(java.util.Arrays.stream(alone.split(" ")).distinct().count() > 3, alone);
    }

    private static String played(Fleet fleet, int threads) {
        try (SimulationRunner sweep = new SimulationRunner(threads, 6, 8 * S, S, () -> { })) {
            return sweep.simulate(fleet, new Workload.ConfiguredWorkload(fleet)).stream()
                    .map(run -> run.eventCount() + "/"
                    + run.statistics().completed())
                    .collect(Collectors.joining(" "));
        }
    }

    public void theHeapPlaysTheSameRunAsTheWheel() {
        Fleet fleet = fleet(2, 70, "");
        SimulationResult wheel = run(fleet, 5 * S, 9);
        SimulationResult heap = new FleetSimulation(fleet, new Workload.ConfiguredWorkload(fleet), 5 * S, 0, 9,
                new HeapEventQueue()).run();
        assertEquals(heap.eventCount(), wheel.eventCount());
        assertEquals(heap.statistics().completed(), wheel.statistics().completed());
    }
}
