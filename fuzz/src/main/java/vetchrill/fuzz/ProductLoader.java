package vetchrill.fuzz;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.jacoco.core.instr.Instrumenter;
import org.jacoco.core.runtime.IExecutionDataAccessorGenerator;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;

/**
 * Loads the classes of the product again, instrumented with coverage probes, and those of the targets without. Classes
 * in the overlay folder replace those of the class path, so that a product with a planted fault is fuzzed in the same
 * way.
 */
final class ProductLoader extends ClassLoader {
    private final Instrumenter instrumenter = new Instrumenter(new Accessor());
    private final Path overlay;
    private final boolean instrumented;

    /** {@code overlay} may be null. */
    ProductLoader(Path overlay, boolean instrumented) {
        super(ProductLoader.class.getClassLoader());
        this.overlay = overlay;
        this.instrumented = instrumented;
    }

    /**
     * Generates the call by which an instrumented class gets its probes from CoverageProbes, which all loaders share.
     */
    private static final class Accessor implements IExecutionDataAccessorGenerator {
        @Override
        public int generateDataAccessor(long id, String name, int count, MethodVisitor code) {
            code.visitLdcInsn(name);
            code.visitLdcInsn(count);
            code.visitMethodInsn(Opcodes.INVOKESTATIC, "vetchrill/fuzz/CoverageProbes", "of", "(Ljava/lang/String;I)[Z",
                    false);
            return 2;
        }
    }

    private static boolean isShared(String name) {
        return !name.startsWith("vetchrill.") || name.equals("vetchrill.fuzz.CoverageProbes")
                || name.equals("vetchrill.fuzz.InvariantViolation") || name.equals("vetchrill.fuzz.Target");
    }

    private static boolean isProduct(String name) {
        return !name.startsWith("vetchrill.fuzz.") && !name.equals("vetchrill.routing.ProcessingChainState");
    }

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
        if (isShared(name)) {
            return super.loadClass(name, resolve);
        }
        synchronized (getClassLoadingLock(name)) {
            Class<?> loaded = findLoadedClass(name);
            if (loaded == null) {
                byte[] code = loadCode(name);
                loaded = defineClass(name, code, 0, code.length);
            }
            if (resolve) {
                resolveClass(loaded);
            }
            return loaded;
        }
    }

    private byte[] loadCode(String name) throws ClassNotFoundException {
        String file = name.replace('.', '/') + ".class";
        try {
            byte[] code;
            Path overlaid = overlay == null ? null : overlay.resolve(file);
            if (overlaid != null && Files.exists(overlaid)) {
                code = Files.readAllBytes(overlaid);
            } else {
                try (InputStream in = getParent().getResourceAsStream(file)) {
                    if (in == null) {
                        throw new ClassNotFoundException(name);
                    }
                    code = in.readAllBytes();
                }
            }
            return instrumented && isProduct(name) ? instrumenter.instrument(code, name) : code;
        } catch (IOException e) {
            throw new ClassNotFoundException(name, e);
        }
    }
}
