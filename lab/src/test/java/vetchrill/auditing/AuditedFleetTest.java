package vetchrill.auditing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import vetchrill.peering.ProgramDigests;
import vetchrill.standin.AuditScenario;
import vetchrill.standin.AuditTestRig;
import vetchrill.standin.StubFrames;

/** Real processes that agree on versions under load, with faults on the link of each ordered pair. */
@Test
public class AuditedFleetTest {
    private static final int SIZE = 5;
    private AuditTestRig rig;

    @BeforeMethod
    public void clearRig() {
        rig = null;
    }

    @AfterMethod(alwaysRun = true)
    public void closeRig() throws IOException {
        if (rig != null) {
            rig.close();
        }
    }

    private void startFive() throws Exception {
        rig = new AuditTestRig(SIZE, 3, AuditScenario.createFolder(), 1);
        rig.awaitVersionOnAll(0);
        rig.startLoad(40);
    }

    private void await(int instance, Predicate<JsonNode> condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        JsonNode last = null;
        while (System.nanoTime() < end) {
            try {
                last = rig.status(instance);
                if (condition.test(last)) {
                    return;
                }
            } catch (IOException e) {
                // The instance is not up yet.
            }
            Thread.sleep(20);
        }
        throw new AssertionError(AuditTestRig.instanceName(instance) + " last reported " + last + "\n"
                + rig.readLog(instance));
    }

    private AuditScenario.Outcome endAndCheck() throws Exception {
        for (int code : rig.shutDownAll()) {
            assertEquals(code, 0);
        }
        AuditScenario.Outcome outcome = new AuditScenario.Outcome();
        AuditScenario.verify(rig, outcome);
        assertEquals(outcome.unaccounted + outcome.misattributed + outcome.belowMinVersion, 0,
                outcome.violations.toString());
        return outcome;
    }

    private boolean completes(int instance, long sinceNanos) {
        return rig.answers.stream().anyMatch(each -> each.instance() == instance && each.atNanos() > sinceNanos
                && each.code() == StubFrames.COMPLETED);
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{6}, {9}};
    }

    /** Under random faults the audit logs agree with all that stubs and interpreters counted. */
    @Test(dataProvider = "seeds")
    public void auditLogsMatchTheCountsUnderRandomFaults(int seed) throws Exception {
        AuditScenario.Outcome outcome = AuditScenario.run(SIZE, 3, 6, seed, AuditScenario.createFolder());
        assertTrue(outcome.allExitedCleanly);
        assertEquals(outcome.unaccounted + outcome.misattributed + outcome.belowMinVersion, 0,
                outcome.violations.toString());
        assertTrue(outcome.exchanges > 300 && outcome.minVersionsConfirmed > 0,
                outcome.exchanges + " " + outcome.minVersionsConfirmed);
    }

    /** Cut off from all others it is fenced and denies exchanges; after the partition it activates the version. */
    public void partitionedInstanceRejectsAfterItsLeaseAndRecovers() throws Exception {
        startFive();
        rig.setPartition(1 << 4, true);
        assertTrue(rig.publish(0, 1, 1));
        await(1, status -> status.path("taken").asLong() == 1);
        assertTrue(rig.awaitMinVersion(0, 1, 5_000));
        await(4, status -> status.path("barred").asBoolean());
        long fencedNanos = System.nanoTime();
        Thread.sleep(500);
        assertFalse(completes(4, fencedNanos), "it serves without a lease");
        assertTrue(rig.answers.stream().anyMatch(each -> each.instance() == 4 && each.atNanos() > fencedNanos
                && each.code() == StubFrames.DENIED));
        rig.setPartition(1 << 4, false);
        await(4, status -> status.path("taken").asLong() == 1 && !status.path("barred").asBoolean());
        long recoveredNanos = System.nanoTime();
        Thread.sleep(500);
        assertTrue(completes(4, recoveredNanos));
        assertEquals(endAndCheck().minVersionsConfirmed, 0);
    }

    /** On resume it has a full queue and an expired lease: the monotonic clock goes on while a process is stopped. */
    public void pausedInstanceStartsNothingBelowTheMinVersionOnResume() throws Exception {
        startFive();
        rig.signal(3, "STOP");
        assertTrue(rig.publish(0, 1, 1));
        await(1, status -> status.path("taken").asLong() == 1);
        assertTrue(rig.awaitMinVersion(1, 1, 5_000));
        Thread.sleep(AuditTestRig.LEASE_MS + 500);
        rig.signal(3, "CONT");
        await(3, status -> status.path("taken").asLong() == 1 && !status.path("barred").asBoolean());
        Thread.sleep(300);
        endAndCheck();
    }

    /** Published on both sides of a partition, the conflict is detected when it heals; the next number is activated. */
    public void conflictingVersionsWithOneNumberAreDetected() throws Exception {
        startFive();
        rig.setPartition(0b11000, true);
        assertTrue(rig.publish(0, 1, 1));
        assertTrue(rig.publish(3, 1, 2));
        rig.setPartition(0b11000, false);
        for (int i = 0; i < SIZE; i++) {
            await(i, status -> status.path("versions").path(0).path("stopped").asText().startsWith("two contents"));
        }
        assertTrue(rig.publish(2, 2, 1));
        rig.awaitVersionOnAll(2);
        endAndCheck();
        List<FleetAudit.InstanceEvent> timeline = new FleetAudit(rig.auditFolders()).timeline();
        assertTrue(timeline.stream().anyMatch(each -> each.event().text().equals("FORK")));
    }

    /** Of three voters one loses its disk: it gets its state back from the others and votes again. */
    public void voterThatLostItsDiskRecoversItsState() throws Exception {
        startFive();
        assertTrue(rig.publish(0, 1, 1));
        rig.awaitVersionOnAll(1);
        assertTrue(rig.awaitMinVersion(0, 1, 5_000));
        rig.kill(1);
        rig.loseDisk(1);
        rig.start(1);
        await(1, status -> status.path("floor").asLong() == 1 && status.path("taken").asLong() == 1
                && !status.path("barred").asBoolean());
        rig.kill(0);
        await(2, status -> status.path("keepers").path(1).path("life").asLong() == 2
                && status.path("keepers").path(1).path("floor").asLong() == 1);
        rig.start(0);
        rig.awaitVersionOnAll(1);
        endAndCheck();
        assertTrue(new FleetAudit(rig.auditFolders()).logs.stream().filter(each -> each.name.equals("r1")).count()
                == 2);
    }

    /** A version meant for a new program, published during its rollout, is activated by that program alone. */
    public void versionForAnotherProgramIsActivatedByThatProgramOnly() throws Exception {
        startFive();
        assertTrue(rig.publish(0, 1, 1));
        rig.awaitVersionOnAll(1);
        Path release = rig.createRelease("release");
        rig.setPartition(0b00110, true);
        assertTrue(rig.publish(0, 3, 1, ProgramDigests.digest(release)));
        for (int i = 0; i < SIZE; i++) {
            rig.install(i, release);
        }
        rig.kill(3);
        rig.start(3);
        await(3, status -> status.path("taken").asLong() == 3);
        await(4, status -> status.path("taken").asLong() == 1
                && status.path("instances").path(0).path("why").asText().contains("another program"));
        rig.setPartition(0b00110, false);
        assertTrue(rig.awaitMinVersion(3, 3, 5_000));
        await(4, status -> status.path("barred").asBoolean());
        for (int i : new int[] {0, 1, 2, 4}) {
            rig.kill(i);
            rig.start(i);
        }
        rig.awaitVersionOnAll(3);
        Thread.sleep(300);
        endAndCheck();
        assertTrue(new FleetAudit(rig.auditFolders()).timeline().stream()
                .anyMatch(each -> each.event().text().startsWith(
                "REFUSED")) || rig.readLog(4).contains("REFUSED"));
    }
}
