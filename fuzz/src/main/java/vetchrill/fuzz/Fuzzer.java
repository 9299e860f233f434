package vetchrill.fuzz;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** Runs one target on many inputs, keeping those that come to places where none had come. */
public final class Fuzzer {
    /** How inputs are found: random bytes alone, mutation without a guide, or all that there is. */
    public enum Strategy { RANDOM, BLIND, GUIDED }

    /** Something that went wrong, with the shortest input found that does it. */
    public record Finding(String target, byte[] input, String problem) {
    }

    /** What a run came to. */
    public record Result(long executions, int corpusSize, int coveredProbes, int totalProbes, List<Finding> findings) {
    }

    /** An input that takes longer than this is a finding by itself, and one that holds more memory is too. */
    private static final long MAX_EXECUTION_NS = 5_000_000_000L;
    private static final int MAX_FINDINGS = 3;

    private final Target target;
    private final SplittableRandom random;
    private final Strategy strategy;
    private final List<byte[]> corpus = new ArrayList<>();
    private long executions;
    private final boolean stopAtFirst;

    /** {@code first}: the first finding is enough, and its input as good as any. */
    public Fuzzer(Target target, long seed, Strategy strategy, boolean stopAtFirst) {
        this.stopAtFirst = stopAtFirst;
        this.target = target;
        this.strategy = strategy;
        random = new SplittableRandom(seed * 31 + target.name().hashCode());
    }

    /** Runs so many inputs, or until a time by System.nanoTime, whichever comes first. */
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
        // What was found last leads on most often.
        int index = random.nextInt(3) == 0 ? corpus.size() - 1 - random.nextInt(Math.min(8, corpus.size()))
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

    /** What is wrong with it, in one line that is the same for the same cause; null where nothing is. */
    private String problemOf(byte[] input) {
        executions++;
        return problemOf(target, input);
    }

    public static String problemOf(Target target, byte[] input) {
        long startNs = System.nanoTime();
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
        return System.nanoTime() - startNs > MAX_EXECUTION_NS ? "takes longer than " + MAX_EXECUTION_NS / 1_000_000
                + " ms" : null;
    }

    /** The shortest input found that has the same thing wrong with it. */
    public byte[] minimise(byte[] input, String problem) {
        return minimise(target, input, problem);
    }

    public static byte[] minimise(Target target, byte[] input, String problem) {
        byte[] best = input;
        int attempts = 0;
        for (int size = Math.max(1, best.length / 2); size > 0 && attempts < 4_000; size /= 2) {
            for (int at = 0; at + size <= best.length && attempts < 4_000;) {
                byte[] shorter = Mutations.replace(best, at, size, new byte[0]);
                attempts++;
                if (problem.equals(problemOf(target, shorter))) {
                    best = shorter;
                } else {
                    at += size;
                }
            }
        }
        for (int at = 0; at < best.length && attempts < 6_000; at++) {
            byte[] zeroed = best.clone();
            zeroed[at] = 0;
            attempts++;
            if (best[at] != 0 && problem.equals(problemOf(target, zeroed))) {
                best = zeroed;
            }
        }
        CoverageProbes.collectNewCoverage();
        return best;
    }

    /** The inputs that, in this order, each come to a place where those before had not come; the shortest first. */
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

    public List<byte[]> corpus() {
        return corpus;
    }
}
