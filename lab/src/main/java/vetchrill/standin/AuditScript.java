package vetchrill.standin;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import vetchrill.hcl.Block;

/** A play as somebody writes it: what breaks from when to when, overlapping at will, and what is ordered between. */
public final class AuditScript {
    private static final String[] KINDS = {"kill", "stop", "part", "mute", "deaf", "delay", "clock", "full", "cut"};

    /** One thing at its time. */
    private record Step(double at, Act act) {
    }

    private interface Act {
        void on(AuditRig rig) throws IOException, InterruptedException;
    }

    public final int processes;
    public final int keepers;
    private final List<Step> steps = new ArrayList<>();

    /** Throws Mistakes with all that is wrong in the file. */
    public AuditScript(Path file) throws IOException {
        Block root = Block.read(file);
        processes = root.whole("processes", 3, 40);
        keepers = root.whole("keepers", 1, 7, 3);
        double lasts = root.number("lasts_s", 1, 600);
        if (keepers % 2 == 0 || keepers > processes) {
            root.mistake("keepers", "should be 1, 3, 5 or 7, and no more than processes");
        }
        for (Block each : root.blocks("trouble")) {
            trouble(each, lasts);
        }
        for (Block each : root.blocks("publish")) {
            int on = place(each, "on");
            int number = number(each);
            int gain = each.whole("gain", 1, 100, 1);
            steps.add(new Step(each.number("at_s", 0, lasts), rig -> rig.publish(on, number, gain)));
        }
        for (Block each : root.blocks("floor")) {
            int on = place(each, "on");
            int number = number(each);
            // The others go on meanwhile: what is ordered is waited for beside them.
            steps.add(new Step(each.number("at_s", 0, lasts), rig -> rig.beside(it -> it.floor(on, number, 5_000))));
        }
        steps.add(new Step(lasts, rig -> { }));
        root.check();
        steps.sort(Comparator.comparingDouble(Step::at));
    }

    private static int number(Block block) {
        if (!block.label().matches("[1-9][0-9]{0,5}")) {
            block.mistake(block.toString(), "should have a number above 0 in quotes, as publish \"1\"");
            return 1;
        }
        return Integer.parseInt(block.label());
    }

    private int place(Block block, String key) {
        String name = block.word(key);
        int place = name.matches("r[0-9]{1,2}") ? Integer.parseInt(name.substring(1)) : -1;
        if (place < 0 || place >= processes) {
            block.mistake(key, "is '" + name + "', should be one of r0 to r" + (processes - 1));
            return 0;
        }
        return place;
    }

    private void trouble(Block block, double lasts) {
        String kind = block.oneOf("kind", KINDS);
        double from = block.number("from_s", 0, lasts);
        double to = block.number("to_s", 0, lasts, lasts);
        if (to <= from) {
            block.mistake("to_s", "should be after from_s");
        }
        int bits = 0;
        for (String name : block.words("of")) {
            if (!name.matches("r[0-9]{1,2}") || Integer.parseInt(name.substring(1)) >= processes) {
                block.mistake("of", "names " + name + ", should be some of r0 to r" + (processes - 1));
            } else {
                bits |= 1 << Integer.parseInt(name.substring(1));
            }
        }
        if (bits == 0) {
            block.mistake("of", "should name some of r0 to r" + (processes - 1));
        }
        int value = block.whole("by_ms", -86_400_000, 86_400_000, kind.equals("clock") ? 3_600_000 : 30);
        String disk = block.oneOf("disk", "whole", "lost", "torn");
        int of = bits;
        steps.add(new Step(from, rig -> begin(rig, kind, of, value)));
        steps.add(new Step(to, rig -> end(rig, kind, of, disk)));
    }

    private void begin(AuditRig rig, String kind, int of, int value) throws IOException, InterruptedException {
        if (kind.equals("part")) {
            rig.part(of, true);
            return;
        }
        for (int i = 0; i < processes; i++) {
            if ((of >> i & 1) == 1) {
                switch (kind) {
                    case "kill" -> rig.kill(i);
                    case "stop" -> rig.signal(i, "STOP");
                    case "mute" -> rig.mute(i, true, true);
                    case "deaf" -> rig.mute(i, false, true);
                    case "delay" -> rig.delay(i, value);
                    case "clock" -> rig.stepClock(i, value);
                    case "full" -> rig.fill(i, true);
                    default -> rig.cut(i);
                }
            }
        }
    }

    private void end(AuditRig rig, String kind, int of, String disk) throws IOException, InterruptedException {
        if (kind.equals("part")) {
            rig.part(of, false);
            return;
        }
        for (int i = 0; i < processes; i++) {
            if ((of >> i & 1) == 1) {
                switch (kind) {
                    case "kill" -> {
                        if (disk.equals("lost")) {
                            rig.loseDisk(i);
                        } else if (disk.equals("torn")) {
                            rig.tear(i);
                        }
                        rig.start(i);
                    }
                    case "stop" -> rig.signal(i, "CONT");
                    case "mute" -> rig.mute(i, true, false);
                    case "deaf" -> rig.mute(i, false, false);
                    case "delay" -> rig.delay(i, 0);
                    case "clock" -> rig.stepClock(i, 0);
                    case "full" -> rig.fill(i, false);
                    default -> {
                    }
                }
            }
        }
    }

    /** Plays it in a folder that is there and empty. */
    public AuditPlay.Outcome play(Path folder) throws IOException, InterruptedException {
        AuditPlay.Outcome outcome = new AuditPlay.Outcome();
        outcome.processes = processes;
        try (AuditRig rig = new AuditRig(processes, keepers, folder, 1)) {
            rig.untilAll(0);
            rig.load(40);
            long began = System.nanoTime();
            for (Step each : steps) {
                long left = (long) (each.at() * 1e9) - (System.nanoTime() - began);
                if (left > 0) {
                    Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
                }
                each.act().on(rig);
            }
            AuditPlay.end(rig, 0, outcome);
        }
        return outcome;
    }
}
