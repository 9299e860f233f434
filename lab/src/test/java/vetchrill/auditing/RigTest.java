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
import vetchrill.peering.Program;
import vetchrill.standin.AuditPlay;
import vetchrill.standin.AuditRig;
import vetchrill.standin.StubFrames;

/** Real processes that agree on versions, under load, with faults between each ordered pair of them. */
@Test
public class RigTest {
    private static final int SIZE = 5;
    private AuditRig rig;

    @BeforeMethod
    public void noneYet() {
        rig = null;
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws IOException {
        if (rig != null) {
            rig.close();
        }
    }

    private void five() throws Exception {
        rig = new AuditRig(SIZE, 3, AuditPlay.folder(), 1);
        rig.untilAll(0);
        rig.load(40);
    }

    private void until(int place, Predicate<JsonNode> so) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        JsonNode last = null;
        while (System.nanoTime() < end) {
            try {
                last = rig.status(place);
                if (so.test(last)) {
                    return;
                }
            } catch (IOException e) {
                // It is not up yet.
            }
            Thread.sleep(20);
        }
        throw new AssertionError(AuditRig.name(place) + " came to " + last + "\n" + rig.log(place));
    }

    private AuditPlay.Outcome judged() throws Exception {
        for (int code : rig.end()) {
            assertEquals(code, 0);
        }
        AuditPlay.Outcome outcome = new AuditPlay.Outcome();
        AuditPlay.judge(rig, outcome);
        assertEquals(outcome.unaccounted + outcome.misattributed + outcome.belowFloor, 0, outcome.wrong.toString());
        return outcome;
    }

    private boolean completes(int place, long since) {
        return rig.answered.stream().anyMatch(each -> each.place() == place && each.atNanos() > since
                && each.code() == StubFrames.COMPLETED);
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{6}, {9}};
    }

    /** Troubles as they are drawn: all that stubs and interpreters counted is in the records as it was. */
    @Test(dataProvider = "seeds")
    public void whateverBreaksTheRecordsTellWhatWas(int seed) throws Exception {
        AuditPlay.Outcome outcome = AuditPlay.play(SIZE, 3, 6, seed, AuditPlay.folder());
        assertTrue(outcome.ended);
        assertEquals(outcome.unaccounted + outcome.misattributed + outcome.belowFloor, 0, outcome.wrong.toString());
        assertTrue(outcome.exchanges > 300 && outcome.floors > 0, outcome.exchanges + " " + outcome.floors);
    }

    /** One that hears nobody is shut out by itself, denies with a time to come back, and comes up once it is heard. */
    public void oneThatIsCutOffDeniesAfterItsLeaseAndComesBack() throws Exception {
        five();
        rig.part(1 << 4, true);
        assertTrue(rig.publish(0, 1, 1));
        until(1, told -> told.path("taken").asLong() == 1);
        assertTrue(rig.floor(0, 1, 5_000));
        until(4, told -> told.path("barred").asBoolean());
        long since = System.nanoTime();
        Thread.sleep(500);
        assertFalse(completes(4, since), "it serves without a lease");
        assertTrue(rig.answered.stream().anyMatch(each -> each.place() == 4 && each.atNanos() > since
                && each.code() == StubFrames.DENIED));
        rig.part(1 << 4, false);
        until(4, told -> told.path("taken").asLong() == 1 && !told.path("barred").asBoolean());
        long healed = System.nanoTime();
        Thread.sleep(500);
        assertTrue(completes(4, healed));
        assertEquals(judged().floors, 0);
    }

    /** It wakes with a full queue and believes in its lease: the monotonic clock went on while it stood still. */
    public void oneThatStoodStillBeginsNothingOnWaking() throws Exception {
        five();
        rig.signal(3, "STOP");
        assertTrue(rig.publish(0, 1, 1));
        until(1, told -> told.path("taken").asLong() == 1);
        assertTrue(rig.floor(1, 1, 5_000));
        Thread.sleep(AuditRig.LEASE_MS + 500);
        rig.signal(3, "CONT");
        until(3, told -> told.path("taken").asLong() == 1 && !told.path("barred").asBoolean());
        Thread.sleep(300);
        judged();
    }

    /** What could not be said between them is found as they meet: neither is taken further, the next number is. */
    public void twoPublishersUnderOneNumberAreFound() throws Exception {
        five();
        rig.part(0b11000, true);
        assertTrue(rig.publish(0, 1, 1));
        assertTrue(rig.publish(3, 1, 2));
        rig.part(0b11000, false);
        for (int i = 0; i < SIZE; i++) {
            until(i, told -> told.path("versions").path(0).path("stopped").asText().startsWith("two contents"));
        }
        assertTrue(rig.publish(2, 2, 1));
        rig.untilAll(2);
        judged();
        List<Fleetwide.Told> timeline = new Fleetwide(rig.records()).timeline();
        assertTrue(timeline.stream().anyMatch(each -> each.row().text().equals("FORK")));
    }

    /** All disks of the three that keep the floor but one are there: the one without is taught and answers again. */
    public void aKeeperThatLostItsDiskIsTaught() throws Exception {
        five();
        assertTrue(rig.publish(0, 1, 1));
        rig.untilAll(1);
        assertTrue(rig.floor(0, 1, 5_000));
        rig.kill(1);
        rig.loseDisk(1);
        rig.start(1);
        until(1, told -> told.path("floor").asLong() == 1 && told.path("taken").asLong() == 1
                && !told.path("barred").asBoolean());
        rig.kill(0);
        until(2, told -> told.path("keepers").path(1).path("life").asLong() == 2
                && told.path("keepers").path(1).path("floor").asLong() == 1);
        rig.start(0);
        rig.untilAll(1);
        judged();
        assertTrue(new Fleetwide(rig.records()).histories.stream().filter(each -> each.name.equals("r1")).count() == 2);
    }

    /** A release in the middle of a change of settings: what is for the new program is taken by that alone. */
    public void anotherProgramTakesWhatIsMeantForIt() throws Exception {
        five();
        assertTrue(rig.publish(0, 1, 1));
        rig.untilAll(1);
        Path release = rig.release("release");
        rig.part(0b00110, true);
        assertTrue(rig.publish(0, 3, 1, Program.text(release)));
        for (int i = 0; i < SIZE; i++) {
            rig.install(i, release);
        }
        rig.kill(3);
        rig.start(3);
        until(3, told -> told.path("taken").asLong() == 3);
        until(4, told -> told.path("taken").asLong() == 1
                && told.path("instances").path(0).path("why").asText().contains("another program"));
        rig.part(0b00110, false);
        assertTrue(rig.floor(3, 3, 5_000));
        until(4, told -> told.path("barred").asBoolean());
        for (int i : new int[] {0, 1, 2, 4}) {
            rig.kill(i);
            rig.start(i);
        }
        rig.untilAll(3);
        Thread.sleep(300);
        judged();
        assertTrue(new Fleetwide(rig.records()).timeline().stream().anyMatch(each -> each.row().text().startsWith(
                "REFUSED")) || rig.log(4).contains("REFUSED"));
    }
}
