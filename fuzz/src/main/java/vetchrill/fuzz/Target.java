package vetchrill.fuzz;

import java.util.List;
import java.util.SplittableRandom;

/** Something that takes bytes from outside, and what must hold whatever they are. */
public interface Target {
    String name();

    /** The classes whose input this is; a parser that no target covers fails the tests. */
    List<Class<?>> covers();

    /** Runs one input; throws a Finding, or anything else that the product let through, where something is wrong. */
    void run(byte[] input);

    /** Inputs to start from, each of them taken by the product as it is. */
    List<byte[]> seeds();

    /** Another input by the rules of the format, or null where bytes are as good as any. */
    default byte[] mutate(byte[] input, SplittableRandom random) {
        return null;
    }

    /** Words that the format knows, for mutation. */
    default List<String> words() {
        return List.of();
    }
}
