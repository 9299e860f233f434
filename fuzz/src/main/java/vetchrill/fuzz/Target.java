package vetchrill.fuzz;

import java.util.List;
import java.util.SplittableRandom;

/** A fuzz target: runs a part of the product on an input and checks the invariants that hold for every input. */
public interface Target {
    /** The name of the target on the command line and of its corpus folder. */
    String name();

    /** The classes under test; the tests fail for a parser that no target covers. */
    List<Class<?>> covers();

    /**
     * Runs one input; throws an InvariantViolation if an invariant is violated. Any other exception is a finding too.
     */
    void run(byte[] input);

    /** Initial inputs without findings. */
    List<byte[]> seeds();

    /** A mutation of the input that respects the format, or null if there is none. */
    default byte[] mutate(byte[] input, SplittableRandom random) {
        return null;
    }

    /** Words of the format, which mutations insert. */
    default List<String> words() {
        return List.of();
    }
}
