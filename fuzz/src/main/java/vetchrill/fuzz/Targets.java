package vetchrill.fuzz;

import java.util.List;

/** All targets, as a loader's own classes: those of an instrumented or a faulty product as well. */
public final class Targets {
    private Targets() {
    }

    @SuppressWarnings("unchecked")
    public static List<Target> all(ClassLoader loader) {
        try {
            return (List<Target>) loader.loadClass("vetchrill.fuzz.targets.Registered").getMethod("all").invoke(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
