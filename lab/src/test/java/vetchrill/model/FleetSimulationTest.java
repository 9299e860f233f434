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

/** Scenarios whose results can be calculated by hand. */
@Test
public class FleetSimulationTest {
    static final int SECOND = ServiceStatistics.SECOND_TENTHS_MS;

    /** A fleet of two zones of {@code instances} with one core each; 50 ms of core time per run, 10 ms per reading. */
    static Fleet fleet(int instances, double perSecond, String extraBlocks) {
        return FleetFileReader.read(ConfigBlock.parse("f.hcl",
                "kind \"k\" {\n cores = 1\n reading_ms = 10\n crowd_from = 100\n"
                + " crowd_loss = 0\n memory_mb = 100\n cold_share = 0.5\n warm_up_ms = 2000\n}\n"
                + "zone \"a\" { relays = { k = " + instances + " } }\n"
                + "zone \"b\" { relays = { k = " + instances + " } }\n"
                + "group \"g\" {\n slo_ms = 400\n timeout_ms = 1000\n share = 1\n work_ms = 50\n work_cv = 0\n"
                + " memory_kb = 10\n}\nstubs \"s\" {\n count = 2\n habit = \"round\"\n}\n"
                + "subjects {\n distinct = 10\n skew = 0\n}\nload { per_s = " + perSecond + " }\n"
                + "rules {\n stop_ms = 3000\n grace_ms = 1000\n}\ndeploy {\n batch = 0.5\n gap_ms = 500\n}\n"
                + extraBlocks));
    }

    private static SimulationResult run(Fleet fleet, long duration, long seed) {
        return new FleetSimulation(fleet, new Workload.ConfiguredWorkload(fleet), duration, 0, seed,
                new TimingWheelQueue())
                .run();
    }

    public void noLoadMeansNoUsage() {
        SimulationResult run = run(fleet(1, 0, ""), 5 * SECOND, 1);
        assertTrue(Double.isNaN(run.statistics().service(0, 5)));
        assertEquals(run.peakUsage().meanCoreUsage, 0.0);
        assertEquals(run.statistics().completed(), 0);
    }

    /** Ten requests a second of 60 ms each on two cores: 30% busy, a sixth of it reading, no answer late. */
    public void servesALightLoadWithTheExpectedUsage() {
        SimulationResult run = run(fleet(1, 10, ""), 60 * SECOND, 1);
        assertEquals(run.statistics().service(0, 60), 1.0, 0.002);
        assertEquals(run.peakUsage().meanCoreUsage, 10 * 0.060 / 2, 0.03);
        assertEquals(run.peakUsage().readingShare, 10 * 0.010 / 2, 0.005);
        assertEquals(run.statistics().retryFactor(0, 60), 1.0);
    }

    /**
     * Twice the capacity of two cores, 66.7 requests a second: reading all of them costs 10 ms each, which leaves core
     * time for (2000 - 10 * 66.7) / 50 = 26.7 runs a second.
     */
    public void usesTheCoreTimeLeftAfterReadingUnderOverload() {
        double perSecond = 2 * 2 / 0.060;
        SimulationResult run = run(fleet(1, perSecond, ""), 30 * SECOND, 1);
        double most = (2 - perSecond * 0.010) / 0.050;
        double completed = run.statistics().completed() / 30.0;
        assertTrue(completed < most * 1.02 && completed > most * 0.8, completed + " of " + most + " a second");
    }

    public void lossOfAllZonesMeansNoService() {
        Fleet fleet = fleet(1, 10, "").withFaults(List.of(
                new Fault.ZoneLoss(5 * SECOND, Long.MAX_VALUE, Set.of("a", "b"))));
        SimulationResult run = run(fleet, 10 * SECOND, 1);
        assertEquals(run.statistics().service(0, 4), 1.0);
        assertEquals(run.statistics().service(6, 10), 0.0);
    }

    /** Half of the fleet carries the load: only requests open in the lost zone, or sent to it, are lost. */
    public void survivesTheLossOfAZoneAtALightLoad() {
        Fleet fleet = fleet(2, 20, "").withFaults(List.of(new Fault.ZoneLoss(5 * SECOND, 12 * SECOND, Set.of("a"))));
        SimulationResult run = run(fleet, 20 * SECOND, 1);
        assertTrue(run.statistics().service(6, 12) > 0.97, "during the loss: " + run.statistics().service(6, 12));
        assertTrue(run.statistics().service(14, 20) > 0.99, "after the restart: " + run.statistics().service(14, 20));
    }

    public void rollingDeployLosesNoExchangeAtALightLoad() {
        Fleet fleet = fleet(2, 12, "").withFaults(List.of(new Fault.RollingDeploy(2 * SECOND)));
        SimulationResult run = run(fleet, 20 * SECOND, 1);
        assertEquals(run.peakUsage().openAtStop, 0);
        assertEquals(run.batchStarts().size(), 2);
        // Half of the fleet is cold at a time, so a few answers are late.
        assertTrue(run.statistics().service(0, 20) > 0.97, "service " + run.statistics().service(0, 20));
    }

    public void unlimitedRetriesAmplifyAnOverload() {
        Fleet once = fleet(2, 100, "");
        Fleet again = once.withPools(once.pools.stream().map(pool -> new Fleet.StubPool(pool.name(), pool.count(),
                pool.balancing(), Fleet.RetryPolicy.UNLIMITED, 2, 0, 0, 0, "")).toList());
        assertEquals(run(once, 10 * SECOND, 1).statistics().retryFactor(2, 10), 1.0);
        assertTrue(run(again, 10 * SECOND, 1).statistics().retryFactor(2, 10) > 2);
    }

    private static double serviceWithSlots(int slots) {
        String calls = "tier \"t\" {\n slots = " + slots + "\n work_ms = 100\n work_cv = 0\n}\n";
        Fleet none = fleet(1, 20, calls);
        Fleet all = none.withFitted(none.kinds, none.groups.stream().map(group -> new Fleet.Group(group.name(),
                group.effect(), group.sloTime(), group.asyncTimeout(), 1, 0, 1, group.coreTime(), 0, 10, 0, 1, 0))
                .toList(),
                none.load, none.subjects);
        return run(all, 10 * SECOND, 1).statistics().service(0, 10);
    }

    /**
     * Twenty calls a second of 100 ms: two in flight on average. Twenty slots suffice, one serves half of them at
     * most.
     */
    public void requestsFailWithoutSlotsOfTheSharedTier() {
        assertTrue(serviceWithSlots(20) > 0.95, "with 20 slots " + serviceWithSlots(20));
        assertTrue(serviceWithSlots(1) < 0.5, "with one slot " + serviceWithSlots(1));
    }

    public void resultsDependOnTheSeedAndNotOnTheThreads() {
        Fleet fleet = fleet(3, 90, "").withFaults(List.of(new Fault.Crash(3 * SECOND, 6 * SECOND, 0.5)));
        String alone = eventsAndCompletions(fleet, 1);
        assertEquals(eventsAndCompletions(fleet, 4), alone);
        assertEquals(alone.split(" ").length, 6);
        assertTrue(java.util.Arrays.stream(alone.split(" ")).distinct().count() > 3, alone);
    }

    private static String eventsAndCompletions(Fleet fleet, int threads) {
        try (SimulationRunner sweep = new SimulationRunner(threads, 6, 8 * SECOND, SECOND, () -> { })) {
            return sweep.simulate(fleet, new Workload.ConfiguredWorkload(fleet)).stream()
                    .map(run -> run.eventCount() + "/"
                    + run.statistics().completed())
                    .collect(Collectors.joining(" "));
        }
    }

    public void heapAndWheelGiveTheSameRun() {
        Fleet fleet = fleet(2, 70, "");
        SimulationResult wheel = run(fleet, 5 * SECOND, 9);
        SimulationResult heap = new FleetSimulation(fleet, new Workload.ConfiguredWorkload(fleet), 5 * SECOND, 0, 9,
                new HeapEventQueue()).run();
        assertEquals(heap.eventCount(), wheel.eventCount());
        assertEquals(heap.statistics().completed(), wheel.statistics().completed());
    }
}
