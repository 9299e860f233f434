package vetchrill.peersim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import vetchrill.members.MemberInfo;
import vetchrill.members.MemberInfo.State;
import vetchrill.members.MembershipConfig;
import vetchrill.members.MembershipMessage;
import vetchrill.members.SwimMembership;
import vetchrill.peers.MembershipMessageCodec;

/**
 * Simulates the membership of a fleet on a virtual clock. The instances run {@link SwimMembership} itself, or the plain
 * heartbeats that it is compared with, over a faulty network; processes crash, pause, leave and restart. All random
 * choices are drawn from one seed.
 */
public final class MembershipSimulation extends NetworkSimulation {
    /** The protocol by which an instance detects failures of its peers. */
    interface FailureDetector {
        void advanceTime(long now);

        void receive(MembershipMessage message);

        boolean processNext(SwimMembership.Host host);

        long wakeAt();
    }

    /** One process; a name may have had several, and may have two at once. */
    public final class Process {
        public final String name;
        final int index;
        final long nonce;
        final FailureDetector detector;
        public final SwimMembership membership;
        boolean up = true;
        boolean left;
        /** It learned that a later process has its name, and acts no more. */
        boolean replaced;
        private long replacedBy;
        long pausedUntil;
        private long wakeupNumber;
        private final ArrayDeque<MembershipMessage> inbox = new ArrayDeque<>();
        private final Map<String, MemberInfo> lastReported = new HashMap<>();

        Process(int index, long incarnation) {
            this.index = index;
            name = name(index);
            nonce = ++lastNonce;
            if (usesHeartbeats) {
                membership = null;
                detector = new HeartbeatDetector(config, name, names, nonce, now());
            } else {
                membership = new SwimMembership(config, name, "", incarnation, nonce, names, random.nextLong(), now());
                detector = new FailureDetector() {
                    @Override
                    public void advanceTime(long now) {
                        membership.advanceTime(now);
                    }

                    @Override
                    public void receive(MembershipMessage message) {
                        membership.receive(message);
                    }

                    @Override
                    public boolean processNext(SwimMembership.Host host) {
                        return membership.processNext(host);
                    }

                    @Override
                    public long wakeAt() {
                        return membership.wakeAt();
                    }
                };
            }
        }

        boolean isActive() {
            return up && !replaced;
        }
    }

    private static final int MAX_STEPS_PER_RUN = 100_000;
    /** A process that leaves runs on for this time, so that it can announce it. */
    private static final int LEAVE_PERIODS = 4;
    /** Suspicions and deaths reported within this time after a pause do not count as false. */
    private static final int PAUSE_GRACE_PERIODS = 4;

    private final MembershipConfig config;
    private final boolean usesHeartbeats;
    private final List<String> names = new ArrayList<>();
    /** The processes of each name, in the order in which they started. */
    public final List<List<Process>> processesByIndex = new ArrayList<>();
    private long lastNonce;
    public long bytesSent;
    /** Reports of death of a process that was up and had not been paused of late. */
    public int falseDeaths;
    /** Reports of suspicion of such a process. */
    public int falseSuspicions;
    /** For each process that stopped, how long after it each of the others declared it dead. */
    public final List<Long> detectionTimes = new ArrayList<>();
    private final Map<Process, Long> stoppedAt = new HashMap<>();

    public MembershipSimulation(int size, MembershipConfig config, boolean usesHeartbeats, long seed) {
        super(seed);
        this.config = config;
        this.usesHeartbeats = usesHeartbeats;
        for (int i = 0; i < size; i++) {
            names.add(name(i));
        }
        for (int i = 0; i < size; i++) {
            processesByIndex.add(new ArrayList<>());
            start(i, 1);
        }
    }

    private static String name(int index) {
        return String.format("r%04d", index);
    }

    // Faults.

    /** Starts a process under that name, beside or after those that it has, with no knowledge of earlier ones. */
    public Process start(int index, long incarnation) {
        Process process = new Process(index, incarnation);
        processesByIndex.get(index).add(process);
        markFault();
        schedule(now(), () -> run(process));
        return process;
    }

    /** The process that holds the name: the latest that is up and not replaced, else the latest of all. */
    public Process currentProcess(int index) {
        List<Process> processes = processesByIndex.get(index);
        for (int i = processes.size() - 1; i >= 0; i--) {
            if (processes.get(i).isActive()) {
                return processes.get(i);
            }
        }
        return processes.get(processes.size() - 1);
    }

    public boolean isUp(int index) {
        return currentProcess(index).up;
    }

    public void kill(int index) {
        for (Process each : processesByIndex.get(index)) {
            if (each.up) {
                each.up = false;
                stoppedAt.put(each, now());
            }
        }
        markFault();
    }

    public void leave(int index) {
        Process process = currentProcess(index);
        if (process.isActive() && process.membership != null) {
            process.left = true;
            process.membership.leave();
            run(process);
            schedule(now() + LEAVE_PERIODS * config.probePeriod(), () -> process.up = false);
        }
        markFault();
    }

    public void pause(int index, long duration) {
        Process process = currentProcess(index);
        process.pausedUntil = Math.max(process.pausedUntil, now() + duration);
        schedule(process.pausedUntil, () -> run(process));
        markFault();
    }

    // Message delivery, and the owner's part of each process.

    private void send(Process from, String to, long nonce, MembershipMessage message) {
        bytesSent += MembershipMessageCodec.encode(message).length;
        int index = names.indexOf(to);
        if (index < 0) {
            throw new InvariantViolation("a message is sent to a name that does not exist");
        }
        // Of two processes under one name the later one has the configured address; a reply reaches either by nonce.
        Process target = currentProcess(index);
        for (Process each : processesByIndex.get(index)) {
            target = nonce != 0 && each.nonce == nonce ? each : target;
        }
        Process receiver = target;
        transmit(from.index, index, () -> deliver(receiver, message));
    }

    private void deliver(Process to, MembershipMessage message) {
        if (!to.up) {
            return;
        }
        to.inbox.add(message);
        run(to);
    }

    private void run(Process process) {
        if (!process.up || now() < process.pausedUntil) {
            return;
        }
        process.detector.advanceTime(now());
        while (!process.inbox.isEmpty()) {
            process.detector.receive(process.inbox.poll());
        }
        SwimMembership.Host host = new SwimMembership.Host() {
            @Override
            public void send(String to, long nonce, MembershipMessage message) {
                MembershipSimulation.this.send(process, to, nonce, message);
            }

            @Override
            public void stateChanged(MemberInfo now, State was) {
                MembershipSimulation.this.onStateChanged(process, now, was);
            }

            @Override
            public void replaced(MemberInfo by) {
                process.replaced = true;
                process.replacedBy = by.nonce();
            }
        };
        int steps = 0;
        while (process.detector.processNext(host)) {
            if (++steps > MAX_STEPS_PER_RUN) {
                throw new InvariantViolation("an instance performs actions without end");
            }
        }
        long wakeup = ++process.wakeupNumber;
        if (!process.replaced) {
            schedule(Math.max(now() + 1, process.detector.wakeAt()), () -> {
                if (wakeup == process.wakeupNumber) {
                    run(process);
                }
            });
        }
    }

    private void onStateChanged(Process process, MemberInfo member, State was) {
        MemberInfo before = process.lastReported.put(member.name(), member);
        if (before != null && (member.incarnation() < before.incarnation()
                || member.incarnation() == before.incarnation() && member.nonce() < before.nonce()
                || member.isSameProcess(before) && member.refutations() < before.refutations())) {
            throw new InvariantViolation("the reported state of a member goes back");
        }
        Process subject = null;
        for (Process each : processesByIndex.get(names.indexOf(member.name()))) {
            subject = each.nonce == member.nonce() ? each : subject;
        }
        if (subject == null) {
            throw new InvariantViolation("a process is reported that never existed");
        }
        boolean healthy = subject.isActive() && !subject.left
                && now() > subject.pausedUntil + PAUSE_GRACE_PERIODS * config.probePeriod();
        if (member.state() == State.DEAD && subject.up && healthy) {
            falseDeaths++;
        } else if (member.state() == State.SUSPECTED && subject.up && healthy) {
            falseSuspicions++;
        } else if (member.state() == State.DEAD && !subject.up && stoppedAt.containsKey(subject)) {
            detectionTimes.add(now() - stoppedAt.get(subject));
        }
    }

    // Invariants.

    /** Long enough after the last fault, all active instances must agree on the members and be right about them. */
    public void checkConverged() {
        for (List<Process> processes : processesByIndex) {
            int up = 0;
            int active = 0;
            for (Process each : processes) {
                up += each.up ? 1 : 0;
                active += each.isActive() ? 1 : 0;
            }
            if (active > 1) {
                throw new InvariantViolation("two processes are active under one name");
            }
            if (up > 0 && active == 0 && processes.stream().noneMatch(each -> each.up && processes.stream()
                    .anyMatch(other -> other.nonce == each.replacedBy && !other.up))) {
                throw new InvariantViolation("all processes of a name consider themselves replaced");
            }
        }
        for (int i = 0; i < processesByIndex.size(); i++) {
            Process viewer = currentProcess(i);
            if (!viewer.isActive() || viewer.left) {
                continue;
            }
            for (MemberInfo member : viewer.membership.others()) {
                Process subject = currentProcess(names.indexOf(member.name()));
                if (subject.isActive() && !subject.left) {
                    if (member.state() != State.ALIVE) {
                        throw new InvariantViolation("an active instance is not seen as alive");
                    }
                    if (member.nonce() != subject.nonce
                            || member.incarnation() != subject.membership.self().incarnation()) {
                        throw new InvariantViolation("an active instance is seen with the nonce or"
                                + " incarnation of another process");
                    }
                } else if (member.state() == State.ALIVE || member.state() == State.SUSPECTED) {
                    throw new InvariantViolation("an instance that is gone is seen as alive or suspected");
                }
            }
        }
    }

    /** The time by which all must have converged: long enough for syncs with members declared dead, and suspicions. */
    public long convergenceDeadline() {
        return lastFaultAt + 40 * config.syncPeriod();
    }
}
