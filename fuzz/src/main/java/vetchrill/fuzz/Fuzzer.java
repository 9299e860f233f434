package vetchrill.fuzz;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A coverage-guided fuzzer: mutates inputs of a corpus, runs the target on them and adds those that reach new probes.
 */
public final class Fuzzer {
    /** How inputs are made: of random bytes, by mutation of the initial inputs, or by mutation guided by coverage. */
    public enum Strategy { RANDOM, BLIND, GUIDED }

    /** A problem with the shortest input found that causes it. */
    public record Finding(String target, byte[] input, String problem) {
    }

    /** The result of a fuzzing run. */
    public record Result(long executions, int corpusSize, int coveredProbes, int totalProbes, List<Finding> findings) {
    }

    /** An input that takes longer is a finding, as is one that runs out of memory. */
    private static final long MAX_EXECUTION_NS = 5_000_000_000L;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int MAX_FINDINGS = 3;

    /** Minimising removes bytes in up to this many executions, then replaces bytes by zeros up to the total. */
    private static final int MAX_REMOVAL_ATTEMPTS = 4_000;
    private static final int MAX_MINIMISE_ATTEMPTS = 6_000;
    /** One in three inputs to mutate is one of this many that were added last. */
    private static final int NEWEST_INPUTS = 8;

    private final Target target;
    private final SplittableRandom random;
    private final Strategy strategy;
    private final List<byte[]> corpus = new ArrayList<>();
    private long executions;
    private final boolean stopAtFirst;

    /** {@code stopAtFirst}: stop at the first finding and do not minimise its input. */
    public Fuzzer(Target target, long seed, Strategy strategy, boolean stopAtFirst) {
        this.stopAtFirst = stopAtFirst;
        this.target = target;
        this.strategy = strategy;
        random = new SplittableRandom(seed * 31 + target.name().hashCode());
    }

    /** Runs up to {@code maxExecutions} inputs, no longer than until {@code deadlineNs} by System.nanoTime. */
    public Result run(long maxExecutions, long deadlineNs, List<byte[]> initialInputs) {
        List<Finding> findings = new ArrayList<>();
        CoverageProbes.reset();
        if (strategy != Strategy.RANDOM) {
            for (byte[] seed : initialInputs) {
                String problem = problemOf(seed);
                if (problem != null) {
                    findings.add(new Finding(target.name(), stopAtFirst ? seed : minimise(seed, problem), problem));
                }
                if (CoverageProbes.collectNewCoverage() || corpus.isEmpty()) {
                    corpus.add(seed);
                }
            }
        }
        while (executions < maxExecutions && findings.size() < (stopAtFirst ? 1 : MAX_FINDINGS)
                && System.nanoTime() < deadlineNs) {
            byte[] input = nextInput();
            String problem = problemOf(input);
            boolean newCoverage = CoverageProbes.collectNewCoverage();
            if (problem != null) {
                if (findings.stream().noneMatch(each -> each.problem.equals(problem))) {
                    findings.add(new Finding(target.name(), stopAtFirst ? input : minimise(input, problem), problem));
                }
            } else if (newCoverage && strategy == Strategy.GUIDED) {
                corpus.add(input);
            }
        }
        return new Result(executions, corpus.size(), CoverageProbes.coveredCount(), CoverageProbes.probeCount(),
                findings);
    }

    private byte[] nextInput() {
        if (strategy == Strategy.RANDOM || corpus.isEmpty()) {
            return Mutations.random(random);
        }
        // The newest inputs are chosen more often, since they lead to new coverage most often.
        int index = random.nextInt(3) == 0 ? corpus.size() - 1 - random.nextInt(Math.min(NEWEST_INPUTS, corpus.size()))
                : random.nextInt(corpus.size());
        byte[] base = corpus.get(index);
        if (random.nextInt(2) == 0) {
            byte[] mutated = target.mutate(base, random);
            if (mutated != null) {
                return mutated;
            }
        }
        return Mutations.mutate(base, corpus.get(random.nextInt(corpus.size())), target.words(), random);
    }

    /** Runs an input; returns the problem in one line, the same for the same cause, or null if there is none. */
    private String problemOf(byte[] input) {
        executions++;
        return problemOf(target, input);
    }

    public static String problemOf(Target target, byte[] input) {
        return problemOf(target, input, false);
    }

    /** With {@code again}, the input took too long in the run before. */
    private static String problemOf(Target target, byte[] input, boolean again) {
        long startNs = System.nanoTime();
        long startCpuNs = THREADS.getCurrentThreadCpuTime();
        try {
            target.run(input);
        } catch (InvariantViolation e) {
            return e.getMessage();
        } catch (RuntimeException | StackOverflowError | OutOfMemoryError | AssertionError e) {
            StackTraceElement[] trace = e.getStackTrace();
            String where = "nowhere";
            for (StackTraceElement each : trace) {
                if (each.getClassName().startsWith("vetchrill.")) {
                    where = each.getClassName() + "." + each.getMethodName();
                    break;
                }
            }
            return e.getClass().getSimpleName() + " in " + where;
        }
        if (System.nanoTime() - startNs <= MAX_EXECUTION_NS) {
            return null;
        }
        // A busy machine may have stopped the process for that long: the input counts if its own core time is over the
        // limit as well, or if it takes too long again.
        if (again || THREADS.getCurrentThreadCpuTime() - startCpuNs > MAX_EXECUTION_NS) {
            return "takes longer than " + MAX_EXECUTION_NS / 1_000_000 + " ms";
        }
        return problemOf(target, input, true);
    }

    /** The shortest input found that causes the same problem. */
    public byte[] minimise(byte[] input, String problem) {
        return minimise(target, input, problem);
    }

    public static byte[] minimise(Target target, byte[] input, String problem) {
        byte[] best = input;
        int attempts = 0;
        for (int size = Math.max(1, best.length / 2); size > 0 && attempts < MAX_REMOVAL_ATTEMPTS; size /= 2) {
            for (int offset = 0; offset + size <= best.length && attempts < MAX_REMOVAL_ATTEMPTS;) {
                byte[] shorter = Mutations.replace(best, offset, size, new byte[0]);
                attempts++;
                if (problem.equals(problemOf(target, shorter))) {
                    best = shorter;
                } else {
                    offset += size;
                }
            }
        }
        for (int offset = 0; offset < best.length && attempts < MAX_MINIMISE_ATTEMPTS; offset++) {
            byte[] zeroed = best.clone();
            zeroed[offset] = 0;
            attempts++;
            if (best[offset] != 0 && problem.equals(problemOf(target, zeroed))) {
                best = zeroed;
            }
        }
        CoverageProbes.collectNewCoverage();
        return best;
    }

    /**
     * Reduces a corpus: of the inputs, sorted from the shortest, those that each reach probes that the ones before do
     * not.
     */
    public static List<byte[]> distill(Target target, List<byte[]> inputs) {
        List<byte[]> sorted = new ArrayList<>(inputs);
        sorted.sort((a, b) -> a.length != b.length ? a.length - b.length : Arrays.compare(a, b));
        CoverageProbes.reset();
        List<byte[]> distilled = new ArrayList<>();
        for (byte[] input : sorted) {
            if (problemOf(target, input) == null && CoverageProbes.collectNewCoverage()) {
                distilled.add(input);
            }
        }
        return distilled;
    }

    /** The initial inputs and the inputs added since that reach new probes. */
    public List<byte[]> corpus() {
        return corpus;
    }
}
