package vetchrill.planner;

import java.util.SplittableRandom;
import vetchrill.capture.Capture;
import vetchrill.capture.Merged;
import vetchrill.fleet.Fleet;
import vetchrill.model.Demand;

/** Demand as it was captured: its shape over time, and works, subjects and sizes drawn from those seen. */
final class Captured implements Demand {
    private final Profile profile;
    private final Sample[] works;
    private final Sample[] sizes;
    private final Sample[] memories;
    private final double[] groups;
    private final int[] customers;
    private final long[] subjects;
    private final double factor;

    Captured(Fleet fleet, Merged merged, int[] groupOf, Profile profile, Sample[] works, Sample[] sizes,
            Sample[] memories) {
        this.profile = profile;
        this.works = works;
        this.sizes = sizes;
        this.memories = memories;
        factor = 1;
        groups = new double[fleet.groups.size()];
        double sum = 0;
        for (int i = 0; i < groups.length; i++) {
            sum += fleet.groups.get(i).share();
            groups[i] = sum;
        }
        int n = 0;
        for (boolean further : merged.further) {
            n += further ? 0 : 1;
        }
        customers = new int[n];
        subjects = new long[n];
        int at = 0;
        for (int i = 0; i < merged.rows; i++) {
            if (!merged.further[i]) {
                Capture capture = merged.captures.get(merged.capture[i]);
                customers[at] = capture.customer[merged.row[i]];
                subjects[at++] = capture.subject[merged.row[i]];
            }
        }
    }

    private Captured(Captured like, double factor) {
        profile = like.profile;
        works = like.works;
        sizes = like.sizes;
        memories = like.memories;
        groups = like.groups;
        customers = like.customers;
        subjects = like.subjects;
        this.factor = factor;
    }

    /** The same in shape with {@code factor} times as many first tries. */
    Captured times(double factor) {
        return new Captured(this, this.factor * factor);
    }

    @Override
    public double rate(long at) {
        return profile.rate(at) * factor;
    }

    @Override
    public double peak() {
        return profile.peak * factor;
    }

    @Override
    public double work(int group, SplittableRandom chance) {
        return works[group].draw(chance);
    }

    @Override
    public int group(SplittableRandom chance) {
        double at = chance.nextDouble() * groups[groups.length - 1];
        int group = 0;
        while (group < groups.length - 1 && groups[group] <= at) {
            group++;
        }
        return group;
    }

    @Override
    public int customer(SplittableRandom chance) {
        return customers[chance.nextInt(customers.length)];
    }

    @Override
    public long subject(SplittableRandom chance) {
        return subjects[chance.nextInt(subjects.length)];
    }

    @Override
    public double kb(int group, SplittableRandom chance) {
        return memories[group].draw(chance);
    }

    @Override
    public int bytes(int group, SplittableRandom chance) {
        return (int) sizes[group].draw(chance);
    }
}
