package vetchrill.fuzz;

import java.util.List;

/** All targets, as a loader's own classes: those of an instrumented or a faulty product as well. */
public final class TargetLoader {
    private TargetLoader() {
    }

    @SuppressWarnings("unchecked")
    public static List<Target> all(ClassLoader loader) {
        try {
            return (List<Target>) loader.loadClass("vetchrill.fuzz.targets.TargetRegistry").getMethod("all")
                    .invoke(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
