package vetchrill.fuzz;

import java.util.List;

/** Gets all targets through a class loader, which may load an instrumented or a faulty product. */
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
