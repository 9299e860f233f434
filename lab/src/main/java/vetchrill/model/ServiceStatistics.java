package vetchrill.model;

import java.util.Arrays;
import vetchrill.fleet.Fleet;
import vetchrill.fleet.Fleet.Group;

/**
 * Counts what clients requested and received, by the second in which they sent the request. Used by the simulation and
 * by the test rig.
 */
public final class ServiceStatistics {
    public static final int SECOND_TENTHS_MS = 10_000;

    private final Fleet fleet;
    /** Number of seconds counted. */
    public final int seconds;
    /** By second: benefit requested, of answers within the SLO time, and of later answers. */
    public final double[] requestedBenefit;
    public final double[] inTimeBenefit;
    public final double[] lateBenefit;
    /** By second: first attempts, all attempts, and denied attempts. */
    public final long[] firstAttempts;
    public final long[] allAttempts;
    public final long[] deniedAttempts;
    /** By group, and by customer: benefit requested, and of answers within the SLO time. */
    public final double[] groupRequested;
    public final double[] groupInTime;
    public final double[] customerRequested;
    public final double[] customerInTime;
    private long completedCount;
    private long failedCount;
    private long endedDeniedCount;

    public ServiceStatistics(Fleet fleet, long duration) {
        this.fleet = fleet;
        seconds = (int) (duration / SECOND_TENTHS_MS) + 1;
        requestedBenefit = new double[seconds];
        inTimeBenefit = new double[seconds];
        lateBenefit = new double[seconds];
        firstAttempts = new long[seconds];
        allAttempts = new long[seconds];
        deniedAttempts = new long[seconds];
        groupRequested = new double[fleet.groups.size()];
        groupInTime = new double[groupRequested.length];
        customerRequested = new double[fleet.customers.size()];
        customerInTime = new double[customerRequested.length];
    }

    private int second(long time) {
        return (int) Math.min(seconds - 1, Math.max(0, time / SECOND_TENTHS_MS));
    }

    public void onRequest(ClientRequest request) {
        double benefit = fleet.groups.get(request.group).benefit();
        int second = second(request.receivedAt);
        requestedBenefit[second] += benefit;
        firstAttempts[second]++;
        groupRequested[request.group] += benefit;
        customerRequested[request.customer] += benefit;
    }

    public void onAttempt(long time) {
        allAttempts[second(time)]++;
    }

    public void onDenial(long time) {
        deniedAttempts[second(time)]++;
    }

    /** Called when a request has ended; {@code answer} is that of its last attempt. */
    public void onFinished(ClientRequest request, ClientRequest.Answer answer, long now) {
        Group group = fleet.groups.get(request.group);
        if (answer != ClientRequest.Answer.COMPLETED || now > request.deadline) {
            if (answer == ClientRequest.Answer.DENIED) {
                endedDeniedCount++;
            } else {
                failedCount++;
            }
            return;
        }
        completedCount++;
        int second = second(request.receivedAt);
        if (now - request.receivedAt <= group.sloTime()) {
            inTimeBenefit[second] += group.benefit();
            groupInTime[request.group] += group.benefit();
            customerInTime[request.customer] += group.benefit();
        } else {
            lateBenefit[second] += group.benefit();
        }
    }

    /** Returns the benefit of answers within the SLO time as a share of that requested; NaN if there was none. */
    public double service(int fromSecond, int toSecond) {
        double all = sum(requestedBenefit, fromSecond, toSecond);
        return all == 0 ? Double.NaN : sum(inTimeBenefit, fromSecond, toSecond) / all;
    }

    public double service(int second) {
        return service(second, second + 1);
    }

    /** Returns the lowest service of any {@code windowSeconds} consecutive seconds. */
    public double worstService(int windowSeconds, int fromSecond, int toSecond) {
        double worst = 1;
        for (int i = fromSecond; i + windowSeconds <= Math.min(seconds, toSecond); i++) {
            double service = service(i, i + windowSeconds);
            worst = Double.isNaN(service) ? worst : Math.min(worst, service);
        }
        return worst;
    }

    /** Returns the number of attempts for each first attempt in these seconds. */
    public double retryFactor(int fromSecond, int toSecond) {
        long first = sum(firstAttempts, fromSecond, toSecond);
        return first == 0 ? 1 : sum(allAttempts, fromSecond, toSecond) / (double) first;
    }

    public static double sum(double[] values, int from, int to) {
        return Arrays.stream(values, Math.min(from, values.length), Math.min(to, values.length)).sum();
    }

    public static long sum(long[] values, int from, int to) {
        return Arrays.stream(values, Math.min(from, values.length), Math.min(to, values.length)).sum();
    }

    public long completed() {
        return completedCount;
    }

    public long failed() {
        return failedCount;
    }

    public long endedDenied() {
        return endedDeniedCount;
    }
}
