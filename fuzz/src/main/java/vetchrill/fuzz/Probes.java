package vetchrill.fuzz;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The probes of instrumented classes: which places of the product an input has come to. */
public final class Probes {
    private static final List<boolean[]> NOW = new ArrayList<>();
    private static final List<boolean[]> EVER = new ArrayList<>();
    private static int reached;
    private static int all;

    private Probes() {
    }

    /** Called by each instrumented class when it is first used. */
    public static synchronized boolean[] of(String name, int count) {
        boolean[] probes = new boolean[count];
        NOW.add(probes);
        EVER.add(new boolean[count]);
        all += count;
        return probes;
    }

    /** Whether the input that was just run came to a place where none had come; then starts anew. */
    static synchronized boolean foundNew() {
        int before = reached;
        for (int i = 0; i < NOW.size(); i++) {
            boolean[] now = NOW.get(i);
            boolean[] ever = EVER.get(i);
            for (int j = 0; j < now.length; j++) {
                if (now[j]) {
                    now[j] = false;
                    if (!ever[j]) {
                        ever[j] = true;
                        reached++;
                    }
                }
            }
        }
        return reached > before;
    }

    static synchronized int reached() {
        return reached;
    }

    static synchronized int all() {
        return all;
    }

    static synchronized void forget() {
        NOW.forEach(each -> Arrays.fill(each, false));
        EVER.forEach(each -> Arrays.fill(each, false));
        reached = 0;
    }
}
