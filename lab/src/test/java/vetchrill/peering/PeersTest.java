package vetchrill.peering;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import vetchrill.InstanceRig;
import vetchrill.standin.Between;
import vetchrill.standin.Ports;
import vetchrill.members.MemberInfo;
import vetchrill.members.MemberInfo.State;
import vetchrill.members.MembershipMessage;
import vetchrill.peers.PeerClient;

/** Stories of five real instances that hear each other, with faults between every ordered pair of them. */
@Test
public class PeersTest {
    private static final int SIZE = 5;
    private static final int PATIENCE_S = 30;

    private final List<Closeable> open = new ArrayList<>();
    private Path folder;
    private int[] ports;
    private Between[][] ways;
    private InstanceRig[] instances;

    @BeforeMethod
    public void fiveThatHearEachOther() throws Exception {
        folder = Files.createTempDirectory("peers");
        ports = new int[SIZE];
        ways = new Between[SIZE][SIZE];
        instances = new InstanceRig[SIZE];
        for (int i = 0; i < SIZE; i++) {
            ports[i] = Ports.free();
        }
        for (int i = 0; i < SIZE; i++) {
            for (int j = 0; j < SIZE; j++) {
                if (i != j) {
                    ways[i][j] = new Between(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[j]));
                    open.add(ways[i][j]);
                }
            }
        }
        for (int i = 0; i < SIZE; i++) {
            instances[i] = start(i, ports[i]);
        }
        for (int i = 0; i < SIZE; i++) {
            until(i, held -> held.size() == SIZE
                    && held.values().stream().allMatch(each -> each.state() == State.ALIVE));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws IOException {
        for (Closeable each : open) {
            each.close();
        }
        open.clear();
    }

    private static String name(int i) {
        return "r" + i;
    }

    private InstanceRig start(int i, int port) throws Exception {
        StringBuilder file = new StringBuilder("peers {\n  listen = \"127.0.0.1:" + port
                + "\"\n  period_ms = 200\n  answer_ms = 80\n  sync_ms = 400\n");
        for (int j = 0; j < SIZE; j++) {
            if (j != i) {
                file.append("  peer \"").append(name(j)).append("\" { address = \"127.0.0.1:")
                        .append(ways[i][j].address().getPort()).append("\" }\n");
            }
        }
        Path operator = folder.resolve(name(i) + "-" + port + ".hcl");
        Files.writeString(operator, file.append("}\n").toString());
        InstanceRig world = new InstanceRig();
        open.add(world);
        world.replacements.put("\"name\":\"n1\"", "\"name\":\"" + name(i) + "\"");
        world.start(new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xmx64m", "--add-opens=java.base/java.nio=ALL-UNNAMED", "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                "vetchrill.tool.Vetchrill", "serve", "--operator", operator.toString()));
        return world;
    }

    private Map<String, MemberInfo> held(int i) throws IOException {
        Map<String, MemberInfo> held = new TreeMap<>();
        MembershipMessage all = PeerClient.queryMembership(new InetSocketAddress(InetAddress.getLoopbackAddress(),
                ports[i]));
        held.put(all.sender().name(), all.sender());
        all.updates().forEach(each -> held.put(each.name(), each));
        return held;
    }

    private void until(int i, Predicate<Map<String, MemberInfo>> so) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        Map<String, MemberInfo> last = Map.of();
        while (System.nanoTime() < end) {
            try {
                last = held(i);
                if (so.test(last)) {
                    return;
                }
            } catch (IOException e) {
                // It is not up yet.
            }
            Thread.sleep(50);
        }
        throw new AssertionError(name(i) + " came to hold " + last + "\n" + instances[i].logText());
    }

    private void untilAllHold(int of, State state, int... but) throws Exception {
        for (int i = 0; i < SIZE; i++) {
            int viewer = i;
            if (i != of && java.util.Arrays.stream(but).noneMatch(each -> each == viewer)) {
                until(i, held -> held.get(name(of)).state() == state);
            }
        }
    }

    public void oneThatIsKilledIsHeldDeadByAllAndComesBackInALaterLife() throws Exception {
        MemberInfo before = held(0).get(name(1));
        instances[1].kill();
        untilAllHold(1, State.DEAD);
        instances[1] = start(1, ports[1]);
        untilAllHold(1, State.ALIVE);
        for (int i = 0; i < SIZE; i++) {
            until(i, held -> held.get(name(1)).compareTo(before) > 0 && !held.get(name(1)).isSameProcess(before));
        }
    }

    /** Its answers come late and not from another: it is told, speaks up, and holds nobody dead for its own sleep. */
    public void oneThatStoodStillSpeaksUpAndBlamesNobody() throws Exception {
        instances[2].signal("STOP");
        untilAllHold(2, State.DEAD, 2);
        instances[2].signal("CONT");
        untilAllHold(2, State.ALIVE);
        until(0, held -> held.get(name(2)).refutations() > 0 && held.get(name(2)).incarnation() == 1);
        assertFalse(instances[2].logText().contains("is DEAD"), instances[2].logText());
    }

    /** Two that don't hear each other are heard by the others, whatever one of them makes of it. */
    public void aWayThatIsCutBetweenTwoOnlyMakesNobodyDead() throws Exception {
        for (int[] way : new int[][] {{0, 1}, {1, 0}}) {
            ways[way[0]][way[1]].swallowsThere = true;
            ways[way[0]][way[1]].swallowsBack = true;
        }
        Thread.sleep(6_000);
        for (int i = 0; i < SIZE; i++) {
            assertFalse(instances[i].logText().contains("is DEAD"), instances[i].logText());
            until(i, held -> held.values().stream().allMatch(each -> each.state() == State.ALIVE));
        }
    }

    public void twoPartsThatWereCutApartFindEachOtherAgain() throws Exception {
        part(true);
        untilAllHold(4, State.DEAD, 3, 4);
        until(4, held -> held.get(name(0)).state() == State.DEAD && held.get(name(3)).state() == State.ALIVE);
        part(false);
        for (int i = 0; i < SIZE; i++) {
            until(i, held -> held.values().stream().allMatch(each -> each.state() == State.ALIVE));
        }
    }

    private void part(boolean is) {
        for (int i = 0; i < 3; i++) {
            for (int j = 3; j < SIZE; j++) {
                for (Between way : List.of(ways[i][j], ways[j][i])) {
                    way.swallowsThere = is;
                    way.swallowsBack = is;
                }
            }
        }
    }

    /** The one that had the name goes in its order; whoever comes later has it. */
    public void aSecondProcessUnderANameTakesItFromTheFirst() throws Exception {
        MemberInfo before = held(0).get(name(3));
        ports[3] = Ports.free();
        InstanceRig second = start(3, ports[3]);
        for (int i = 0; i < SIZE; i++) {
            if (i != 3) {
                ways[i][3].leadsTo(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[3]));
            }
        }
        assertEquals(instances[3].awaitExit(), 0, instances[3].logText());
        assertTrue(instances[3].logText().contains("another process has the name r3"), instances[3].logText());
        assertTrue(second.isAlive());
        assertFalse(second.logText().contains("another process has the name"), second.logText());
        until(0, held -> held.get(name(3)).compareTo(before) > 0 && !held.get(name(3)).isSameProcess(before));
    }
}
