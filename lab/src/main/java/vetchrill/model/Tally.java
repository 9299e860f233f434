package vetchrill.model;

import java.util.Arrays;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.Group;

/** What clients asked for and got, by the second in which they asked; the rig counts with it as well as the model. */
public final class Tally {
    public static final int SECOND = 10_000;

    private final Fleet fleet;
    public final int seconds;
    /** By second: benefit asked for, answered within the SLO time, and answered later. */
    public final double[] asked;
    public final double[] inTime;
    public final double[] late;
    /** By second: first tries, all tries, and tries denied. */
    public final long[] firsts;
    public final long[] tries;
    public final long[] denied;
    public final double[] groupAsked;
    public final double[] groupInTime;
    public final double[] customerAsked;
    public final double[] customerInTime;
    private long completed;
    private long failed;
    private long lastDenied;

    public Tally(Fleet fleet, long span) {
        this.fleet = fleet;
        seconds = (int) (span / SECOND) + 1;
        asked = new double[seconds];
        inTime = new double[seconds];
        late = new double[seconds];
        firsts = new long[seconds];
        tries = new long[seconds];
        denied = new long[seconds];
        groupAsked = new double[fleet.groups.size()];
        groupInTime = new double[groupAsked.length];
        customerAsked = new double[fleet.customers.size()];
        customerInTime = new double[customerAsked.length];
    }

    private int second(long at) {
        return (int) Math.min(seconds - 1, Math.max(0, at / SECOND));
    }

    public void asks(Asking asking) {
        double benefit = fleet.groups.get(asking.group).benefit();
        int second = second(asking.from);
        asked[second] += benefit;
        firsts[second]++;
        groupAsked[asking.group] += benefit;
        customerAsked[asking.customer] += benefit;
    }

    public void tries(long at) {
        tries[second(at)]++;
    }

    public void denied(long at) {
        denied[second(at)]++;
    }

    /** The end of it, whichever; {@code answer} is that of its last try. */
    public void over(Asking asking, Asking.Answer answer, long now) {
        Group group = fleet.groups.get(asking.group);
        if (answer != Asking.Answer.COMPLETED || now > asking.until) {
            if (answer == Asking.Answer.DENIED) {
                lastDenied++;
            } else {
                failed++;
            }
            return;
        }
        completed++;
        int second = second(asking.from);
        if (now - asking.from <= group.sloTime()) {
            inTime[second] += group.benefit();
            groupInTime[asking.group] += group.benefit();
            customerInTime[asking.customer] += group.benefit();
        } else {
            late[second] += group.benefit();
        }
    }

    /** Benefit answered within the SLO time for that asked for in these seconds; NaN where nothing was asked for. */
    public double service(int fromSecond, int toSecond) {
        double all = sum(asked, fromSecond, toSecond);
        return all == 0 ? Double.NaN : sum(inTime, fromSecond, toSecond) / all;
    }

    public double service(int second) {
        return service(second, second + 1);
    }

    /** The worst service of {@code span} seconds on end. */
    public double worst(int span, int fromSecond, int toSecond) {
        double worst = 1;
        for (int i = fromSecond; i + span <= Math.min(seconds, toSecond); i++) {
            double service = service(i, i + span);
            worst = Double.isNaN(service) ? worst : Math.min(worst, service);
        }
        return worst;
    }

    /** All tries for each first try in these seconds. */
    public double inflation(int fromSecond, int toSecond) {
        long first = sum(firsts, fromSecond, toSecond);
        return first == 0 ? 1 : sum(tries, fromSecond, toSecond) / (double) first;
    }

    public static double sum(double[] of, int from, int to) {
        return Arrays.stream(of, Math.min(from, of.length), Math.min(to, of.length)).sum();
    }

    public static long sum(long[] of, int from, int to) {
        return Arrays.stream(of, Math.min(from, of.length), Math.min(to, of.length)).sum();
    }

    public long completed() {
        return completed;
    }

    public long failed() {
        return failed;
    }

    public long endedDenied() {
        return lastDenied;
    }
}
