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
import vetchrill.members.MemberInfo;
import vetchrill.members.MemberInfo.State;
import vetchrill.members.MembershipMessage;
import vetchrill.peers.PeerClient;
import vetchrill.standin.LinkProxy;
import vetchrill.standin.Ports;

/** Membership of five real instance processes, with faults injected on the link of every ordered pair. */
@Test
public class PeersTest {
    private static final int SIZE = 5;
    private static final int TIMEOUT_S = 30;

    private final List<Closeable> resources = new ArrayList<>();
    private Path folder;
    private int[] ports;
    private LinkProxy[][] links;
    private InstanceRig[] instances;

    @BeforeMethod
    public void startFiveConnectedInstances() throws Exception {
        folder = Files.createTempDirectory("peers");
        ports = new int[SIZE];
        links = new LinkProxy[SIZE][SIZE];
        instances = new InstanceRig[SIZE];
        for (int i = 0; i < SIZE; i++) {
            ports[i] = Ports.findFree();
        }
        for (int i = 0; i < SIZE; i++) {
            for (int j = 0; j < SIZE; j++) {
                if (i != j) {
                    links[i][j] = new LinkProxy(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[j]));
                    resources.add(links[i][j]);
                }
            }
        }
        for (int i = 0; i < SIZE; i++) {
            instances[i] = start(i, ports[i]);
        }
        for (int i = 0; i < SIZE; i++) {
            await(i, members -> members.size() == SIZE
                    && members.values().stream().allMatch(each -> each.state() == State.ALIVE));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void closeAll() throws IOException {
        for (Closeable each : resources) {
            each.close();
        }
        resources.clear();
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
                        .append(links[i][j].address().getPort()).append("\" }\n");
            }
        }
        Path operator = folder.resolve(name(i) + "-" + port + ".hcl");
        Files.writeString(operator, file.append("}\n").toString());
        InstanceRig instance = new InstanceRig();
        resources.add(instance);
        instance.replacements.put("\"name\":\"n1\"", "\"name\":\"" + name(i) + "\"");
        instance.start(new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xmx64m", "--add-opens=java.base/java.nio=ALL-UNNAMED", "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                "vetchrill.tool.Vetchrill", "serve", "--operator", operator.toString()));
        return instance;
    }

    private Map<String, MemberInfo> queryMembers(int i) throws IOException {
        Map<String, MemberInfo> members = new TreeMap<>();
        MembershipMessage reply = PeerClient.queryMembership(new InetSocketAddress(InetAddress.getLoopbackAddress(),
                ports[i]));
        members.put(reply.sender().name(), reply.sender());
        reply.updates().forEach(each -> members.put(each.name(), each));
        return members;
    }

    private void await(int i, Predicate<Map<String, MemberInfo>> condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        Map<String, MemberInfo> last = Map.of();
        while (System.nanoTime() < end) {
            try {
                last = queryMembers(i);
                if (condition.test(last)) {
                    return;
                }
            } catch (IOException e) {
                // The instance is not up yet.
            }
            Thread.sleep(50);
        }
        throw new AssertionError(name(i) + " last reported " + last + "\n" + instances[i].logText());
    }

    private void awaitStateSeenByAll(int subject, State state, int... excluded) throws Exception {
        for (int i = 0; i < SIZE; i++) {
            int viewer = i;
            if (i != subject && java.util.Arrays.stream(excluded).noneMatch(each -> each == viewer)) {
                await(i, members -> members.get(name(subject)).state() == state);
            }
        }
    }

    public void killedInstanceIsDeclaredDeadAndRejoinsWithHigherIncarnation() throws Exception {
        MemberInfo before = queryMembers(0).get(name(1));
        instances[1].kill();
        awaitStateSeenByAll(1, State.DEAD);
        instances[1] = start(1, ports[1]);
        awaitStateSeenByAll(1, State.ALIVE);
        for (int i = 0; i < SIZE; i++) {
            await(i, members -> members.get(name(1)).compareTo(before) > 0
                    && !members.get(name(1)).isSameProcess(before));
        }
    }

    /** Once resumed, it learns that it was declared dead and refutes it; its own pause must not make others dead. */
    public void pausedInstanceRefutesItsDeathAndDeclaresNobodyDead() throws Exception {
        instances[2].signal("STOP");
        awaitStateSeenByAll(2, State.DEAD, 2);
        instances[2].signal("CONT");
        awaitStateSeenByAll(2, State.ALIVE);
        await(0, members -> members.get(name(2)).refutations() > 0 && members.get(name(2)).incarnation() == 1);
        assertFalse(instances[2].logText().contains("is DEAD"), instances[2].logText());
    }

    /** Indirect probes of the other instances keep both of them alive. */
    public void cutLinkBetweenTwoInstancesMakesNobodyDead() throws Exception {
        for (int[] pair : new int[][] {{0, 1}, {1, 0}}) {
            links[pair[0]][pair[1]].dropsToTarget = true;
            links[pair[0]][pair[1]].dropsFromTarget = true;
        }
        Thread.sleep(6_000);
        for (int i = 0; i < SIZE; i++) {
            assertFalse(instances[i].logText().contains("is DEAD"), instances[i].logText());
            await(i, members -> members.values().stream().allMatch(each -> each.state() == State.ALIVE));
        }
    }

    public void partitionedHalvesMergeAfterHealing() throws Exception {
        setPartitioned(true);
        awaitStateSeenByAll(4, State.DEAD, 3, 4);
        await(4, members -> members.get(name(0)).state() == State.DEAD && members.get(name(3)).state() == State.ALIVE);
        setPartitioned(false);
        for (int i = 0; i < SIZE; i++) {
            await(i, members -> members.values().stream().allMatch(each -> each.state() == State.ALIVE));
        }
    }

    private void setPartitioned(boolean partitioned) {
        for (int i = 0; i < 3; i++) {
            for (int j = 3; j < SIZE; j++) {
                for (LinkProxy link : List.of(links[i][j], links[j][i])) {
                    link.dropsToTarget = partitioned;
                    link.dropsFromTarget = partitioned;
                }
            }
        }
    }

    /** The first process shuts down in order with exit code 0; the later one keeps the name. */
    public void laterProcessWithSameNameReplacesTheFirst() throws Exception {
        MemberInfo before = queryMembers(0).get(name(3));
        ports[3] = Ports.findFree();
        InstanceRig second = start(3, ports[3]);
        for (int i = 0; i < SIZE; i++) {
            if (i != 3) {
                links[i][3].redirectTo(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[3]));
            }
        }
        assertEquals(instances[3].awaitExit(), 0, instances[3].logText());
        assertTrue(instances[3].logText().contains("another process has the name r3"), instances[3].logText());
        assertTrue(second.isAlive());
        assertFalse(second.logText().contains("another process has the name"), second.logText());
        await(0, members -> members.get(name(3)).compareTo(before) > 0 && !members.get(name(3)).isSameProcess(before));
    }
}
