package vetchrill.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import vetchrill.hcl.ConfigBlock;

/**
 * A scenario that an HCL file describes: faults with their start and end, which may overlap, and the versions and
 * minimum versions that are ordered meanwhile.
 */
public final class ScriptedAuditScenario {
    private static final String[] FAULT_KINDS = {"kill", "stop", "part", "mute", "deaf", "delay", "clock", "full",
            "cut"};

    private static final int DEFAULT_CLOCK_STEP_MS = 3_600_000;
    private static final int DEFAULT_DELAY_MS = 30;
    private static final int MAX_DURATION_S = 600;

    /** An action and its time since the start of the load. */
    private record ScheduledAction(double atSeconds, RigAction action) {
    }

    /** Something that is done to the rig. */
    private interface RigAction {
        void apply(AuditTestRig rig) throws IOException, InterruptedException;
    }

    public final int processes;
    public final int voters;
    private final List<ScheduledAction> actions = new ArrayList<>();

    /** Reads the file; the exception of {@link ConfigBlock#check} lists everything that is wrong in it. */
    public ScriptedAuditScenario(Path file) throws IOException {
        ConfigBlock root = ConfigBlock.read(file);
        processes = root.integer("processes", 3, 40);
        voters = root.integer("keepers", 1, 7, 3);
        double durationS = root.number("lasts_s", 1, MAX_DURATION_S);
        if (voters % 2 == 0 || voters > processes) {
            root.addError("keepers", "should be 1, 3, 5 or 7, and no more than processes");
        }
        for (ConfigBlock each : root.blocks("trouble")) {
            addFault(each, durationS);
        }
        for (ConfigBlock each : root.blocks("publish")) {
            int instance = parseInstance(each, "on");
            int number = parseVersionNumber(each);
            int gain = each.integer("gain", 1, 100, 1);
            actions.add(new ScheduledAction(each.number("at_s", 0, durationS),
                    rig -> rig.publish(instance, number, gain)));
        }
        for (ConfigBlock each : root.blocks("floor")) {
            int instance = parseInstance(each, "on");
            int number = parseVersionNumber(each);
            // The confirmation is awaited in the background, because later actions must not wait for it.
            actions.add(new ScheduledAction(each.number("at_s", 0, durationS),
                    rig -> rig.runInBackground(
                            background -> background.awaitMinVersion(instance, number,
                                    AuditScenario.MIN_VERSION_TIMEOUT_MS))));
        }
        actions.add(new ScheduledAction(durationS, rig -> { }));
        root.check();
        actions.sort(Comparator.comparingDouble(ScheduledAction::atSeconds));
    }

    private static int parseVersionNumber(ConfigBlock block) {
        if (!block.label().matches("[1-9][0-9]{0,5}")) {
            block.addError(block.toString(), "should have a number above 0 in quotes, as publish \"1\"");
            return 1;
        }
        return Integer.parseInt(block.label());
    }

    private int parseInstance(ConfigBlock block, String key) {
        String name = block.text(key);
        int instance = name.matches("r[0-9]{1,2}") ? Integer.parseInt(name.substring(1)) : -1;
        if (instance < 0 || instance >= processes) {
            block.addError(key, "is '" + name + "', should be one of r0 to r" + (processes - 1));
            return 0;
        }
        return instance;
    }

    private void addFault(ConfigBlock block, double durationS) {
        String kind = block.oneOf("kind", FAULT_KINDS);
        double fromS = block.number("from_s", 0, durationS);
        double toS = block.number("to_s", 0, durationS, durationS);
        if (toS <= fromS) {
            block.addError("to_s", "should be after from_s");
        }
        int members = 0;
        for (String name : block.texts("of")) {
            if (!name.matches("r[0-9]{1,2}") || Integer.parseInt(name.substring(1)) >= processes) {
                block.addError("of", "names " + name + ", should be some of r0 to r" + (processes - 1));
            } else {
                members |= 1 << Integer.parseInt(name.substring(1));
            }
        }
        if (members == 0) {
            block.addError("of", "should name some of r0 to r" + (processes - 1));
        }
        int value = block.integer("by_ms", -86_400_000, 86_400_000, kind.equals("clock") ? DEFAULT_CLOCK_STEP_MS
                : DEFAULT_DELAY_MS);
        String disk = block.oneOf("disk", "whole", "lost", "torn");
        int affected = members;
        actions.add(new ScheduledAction(fromS, rig -> injectFault(rig, kind, affected, value)));
        actions.add(new ScheduledAction(toS, rig -> healFault(rig, kind, affected, disk)));
    }

    private void injectFault(AuditTestRig rig, String kind, int affected, int value) throws IOException,
            InterruptedException {
        if (kind.equals("part")) {
            rig.setPartition(affected, true);
            return;
        }
        for (int i = 0; i < processes; i++) {
            if ((affected >> i & 1) == 1) {
                switch (kind) {
                    case "kill" -> rig.kill(i);
                    case "stop" -> rig.signal(i, "STOP");
                    case "mute" -> rig.setOneWayDrop(i, true, true);
                    case "deaf" -> rig.setOneWayDrop(i, false, true);
                    case "delay" -> rig.setLinkDelay(i, value);
                    case "clock" -> rig.stepClock(i, value);
                    case "full" -> rig.setDiskFull(i, true);
                    default -> rig.closeConnections(i);
                }
            }
        }
    }

    private void healFault(AuditTestRig rig, String kind, int affected, String disk) throws IOException,
            InterruptedException {
        if (kind.equals("part")) {
            rig.setPartition(affected, false);
            return;
        }
        for (int i = 0; i < processes; i++) {
            if ((affected >> i & 1) == 1) {
                switch (kind) {
                    case "kill" -> {
                        if (disk.equals("lost")) {
                            rig.loseDisk(i);
                        } else if (disk.equals("torn")) {
                            rig.tearAuditLog(i);
                        }
                        rig.start(i);
                    }
                    case "stop" -> rig.signal(i, "CONT");
                    case "mute" -> rig.setOneWayDrop(i, true, false);
                    case "deaf" -> rig.setOneWayDrop(i, false, false);
                    case "delay" -> rig.setLinkDelay(i, 0);
                    case "clock" -> rig.stepClock(i, 0);
                    case "full" -> rig.setDiskFull(i, false);
                    default -> {
                    }
                }
            }
        }
    }

    /** Runs the scenario in an empty folder and verifies the audit logs. */
    public AuditScenario.Outcome run(Path folder) throws IOException, InterruptedException {
        AuditScenario.Outcome outcome = new AuditScenario.Outcome();
        outcome.processes = processes;
        try (AuditTestRig rig = new AuditTestRig(processes, voters, folder, 1)) {
            rig.awaitVersionOnAll(0);
            rig.startLoad(AuditScenario.EXCHANGES_PER_S);
            long startNanos = System.nanoTime();
            for (ScheduledAction each : actions) {
                long remainingNanos = (long) (each.atSeconds() * 1e9) - (System.nanoTime() - startNanos);
                if (remainingNanos > 0) {
                    Thread.sleep(remainingNanos / 1_000_000, (int) (remainingNanos % 1_000_000));
                }
                each.action().apply(rig);
            }
            AuditScenario.shutDownAndVerify(rig, 0, outcome);
        }
        return outcome;
    }
}
