package vetchrill.fuzz;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The probes of instrumented classes: which places of the product an input has come to. */
public final class CoverageProbes {
    private static final List<boolean[]> CURRENT = new ArrayList<>();
    private static final List<boolean[]> COVERED = new ArrayList<>();
    private static int coveredCount;
    private static int probeCount;

    private CoverageProbes() {
    }

    /** Called by each instrumented class when it is first used. */
    public static synchronized boolean[] of(String className, int probesInClass) {
        boolean[] probes = new boolean[probesInClass];
        CURRENT.add(probes);
        COVERED.add(new boolean[probesInClass]);
        probeCount += probesInClass;
        return probes;
    }

    /** Whether the input that was just run came to a place where none had come; then starts anew. */
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
