package vetchrill.fuzz;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Coverage of the instrumented classes: which of their probes have been reached. */
public final class CoverageProbes {
    /** Probes reached by the input that is running, an array for each class. */
    private static final List<boolean[]> CURRENT = new ArrayList<>();
    /** Probes reached by any input since the last reset. */
    private static final List<boolean[]> COVERED = new ArrayList<>();
    private static int coveredCount;
    private static int probeCount;

    private CoverageProbes() {
    }

    /** Called by the code of each instrumented class when it is initialized; returns its probes. */
    public static synchronized boolean[] of(String className, int probesInClass) {
        boolean[] probes = new boolean[probesInClass];
        CURRENT.add(probes);
        COVERED.add(new boolean[probesInClass]);
        probeCount += probesInClass;
        return probes;
    }

    /**
     * Returns whether the input that has just run has reached a probe that no earlier one has; clears the probes for
     * the next input.
     */
    static synchronized boolean collectNewCoverage() {
        int coveredBefore = coveredCount;
        for (int i = 0; i < CURRENT.size(); i++) {
            boolean[] current = CURRENT.get(i);
            boolean[] covered = COVERED.get(i);
            for (int j = 0; j < current.length; j++) {
                if (current[j]) {
                    current[j] = false;
                    if (!covered[j]) {
                        covered[j] = true;
                        coveredCount++;
                    }
                }
            }
        }
        return coveredCount > coveredBefore;
    }

    static synchronized int coveredCount() {
        return coveredCount;
    }

    static synchronized int probeCount() {
        return probeCount;
    }

    static synchronized void reset() {
        CURRENT.forEach(each -> Arrays.fill(each, false));
        COVERED.forEach(each -> Arrays.fill(each, false));
        coveredCount = 0;
    }
}
