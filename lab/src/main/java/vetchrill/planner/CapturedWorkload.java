package vetchrill.planner;

import java.util.SplittableRandom;
import vetchrill.capture.Capture;
import vetchrill.capture.CaptureMerge;
import vetchrill.fleet.Fleet;
import vetchrill.model.Workload;

/** A captured workload: its rate over time, with core times, subjects and sizes drawn from the observed values. */
final class CapturedWorkload implements Workload {
    private final LoadProfile profile;
    private final Sample[] workSamples;
    private final Sample[] sizeSamples;
    private final Sample[] memorySamples;
    private final double[] cumulativeShares;
    private final int[] customers;
    private final long[] subjects;
    private final double loadFactor;

    CapturedWorkload(Fleet fleet, CaptureMerge merged, int[] groupIndexes, LoadProfile profile, Sample[] workSamples,
            Sample[] sizeSamples, Sample[] memorySamples) {
        this.profile = profile;
        this.workSamples = workSamples;
        this.sizeSamples = sizeSamples;
        this.memorySamples = memorySamples;
        loadFactor = 1;
        cumulativeShares = new double[fleet.groups.size()];
        double sum = 0;
        for (int i = 0; i < cumulativeShares.length; i++) {
            sum += fleet.groups.get(i).requestShare();
            cumulativeShares[i] = sum;
        }
        int firstAttempts = 0;
        for (boolean retry : merged.retry) {
            firstAttempts += retry ? 0 : 1;
        }
        customers = new int[firstAttempts];
        subjects = new long[firstAttempts];
        int next = 0;
        for (int i = 0; i < merged.rows; i++) {
            if (!merged.retry[i]) {
                Capture capture = merged.captures.get(merged.capture[i]);
                customers[next] = capture.customer[merged.row[i]];
                subjects[next++] = capture.subject[merged.row[i]];
            }
        }
    }

    private CapturedWorkload(CapturedWorkload source, double loadFactor) {
        profile = source.profile;
        workSamples = source.workSamples;
        sizeSamples = source.sizeSamples;
        memorySamples = source.memorySamples;
        cumulativeShares = source.cumulativeShares;
        customers = source.customers;
        subjects = source.subjects;
        this.loadFactor = loadFactor;
    }

    /** A workload of the same shape with {@code loadFactor} times as many first attempts. */
    CapturedWorkload scaledBy(double loadFactor) {
        return new CapturedWorkload(this, this.loadFactor * loadFactor);
    }

    @Override
    public double rate(long time) {
        return profile.rate(time) * loadFactor;
    }

    @Override
    public double peakRate() {
        return profile.peakRate * loadFactor;
    }

    @Override
    public double coreTime(int group, SplittableRandom random) {
        return workSamples[group].draw(random);
    }

    @Override
    public int group(SplittableRandom random) {
        double point = random.nextDouble() * cumulativeShares[cumulativeShares.length - 1];
        int group = 0;
        while (group < cumulativeShares.length - 1 && cumulativeShares[group] <= point) {
            group++;
        }
        return group;
    }

    @Override
    public int customer(SplittableRandom random) {
        return customers[random.nextInt(customers.length)];
    }

    @Override
    public long subject(SplittableRandom random) {
        return subjects[random.nextInt(subjects.length)];
    }

    @Override
    public double sizeKb(int group, SplittableRandom random) {
        return memorySamples[group].draw(random);
    }

    @Override
    public int bodyBytes(int group, SplittableRandom random) {
        return (int) sizeSamples[group].draw(random);
    }
}
