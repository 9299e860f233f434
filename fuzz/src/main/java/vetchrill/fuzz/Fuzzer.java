package vetchrill.fuzz;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** Runs one target on many inputs, keeping those that come to places where none had come. */
public final class Fuzzer {
    /** How inputs are found: random bytes alone, mutation without a guide, or all that there is. */
    public enum Way { RANDOM, BLIND, GUIDED }

    /** Something that went wrong, with the shortest input found that does it. */
    public record Found(String target, byte[] input, String what) {
    }

    /** What a run came to. */
    public record Result(long executions, int kept, int reached, int all, List<Found> found) {
    }

    /** An input that takes longer than this is a finding by itself, and one that holds more memory is too. */
    private static final long LONGEST_NS = 5_000_000_000L;
    private static final int MOST_FOUND = 3;

    private final Target target;
    private final SplittableRandom chance;
    private final Way way;
    private final List<byte[]> corpus = new ArrayList<>();
    private long executions;
    private final boolean first;

    /** {@code first}: the first finding is enough, and its input as good as any. */
    public Fuzzer(Target target, long seed, Way way, boolean first) {
        this.first = first;
        this.target = target;
        this.way = way;
        chance = new SplittableRandom(seed * 31 + target.name().hashCode());
    }

    /** Runs so many inputs, or until a time by System.nanoTime, whichever comes first. */
    public Result run(long most, long until, List<byte[]> start) {
        List<Found> found = new ArrayList<>();
        Probes.forget();
        if (way != Way.RANDOM) {
            for (byte[] seed : start) {
                String wrong = wrong(seed);
                if (wrong != null) {
                    found.add(new Found(target.name(), first ? seed : minimise(seed, wrong), wrong));
                }
                if (Probes.foundNew() || corpus.isEmpty()) {
                    corpus.add(seed);
                }
            }
        }
        while (executions < most && found.size() < (first ? 1 : MOST_FOUND) && System.nanoTime() < until) {
            byte[] input = next();
            String wrong = wrong(input);
            boolean fresh = Probes.foundNew();
            if (wrong != null) {
                if (found.stream().noneMatch(each -> each.what.equals(wrong))) {
                    found.add(new Found(target.name(), first ? input : minimise(input, wrong), wrong));
                }
            } else if (fresh && way == Way.GUIDED) {
                corpus.add(input);
            }
        }
        return new Result(executions, corpus.size(), Probes.reached(), Probes.all(), found);
    }

    private byte[] next() {
        if (way == Way.RANDOM || corpus.isEmpty()) {
            return Mutations.random(chance);
        }
        // What was found last leads on most often.
        int at = chance.nextInt(3) == 0 ? corpus.size() - 1 - chance.nextInt(Math.min(8, corpus.size()))
                : chance.nextInt(corpus.size());
        byte[] from = corpus.get(at);
        if (chance.nextInt(2) == 0) {
            byte[] ruled = target.mutate(from, chance);
            if (ruled != null) {
                return ruled;
            }
        }
        return Mutations.mutate(from, corpus.get(chance.nextInt(corpus.size())), target.words(), chance);
    }

    /** What is wrong with it, in one line that is the same for the same cause; null where nothing is. */
    private String wrong(byte[] input) {
        executions++;
        return wrong(target, input);
    }

    public static String wrong(Target target, byte[] input) {
        long began = System.nanoTime();
        try {
            target.run(input);
        } catch (Finding e) {
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
        return System.nanoTime() - began > LONGEST_NS ? "takes longer than " + LONGEST_NS / 1_000_000 + " ms" : null;
    }

    /** The shortest input found that has the same thing wrong with it. */
    public byte[] minimise(byte[] input, String what) {
        return minimise(target, input, what);
    }

    public static byte[] minimise(Target target, byte[] input, String what) {
        byte[] best = input;
        int tries = 0;
        for (int size = Math.max(1, best.length / 2); size > 0 && tries < 4_000; size /= 2) {
            for (int at = 0; at + size <= best.length && tries < 4_000;) {
                byte[] shorter = Mutations.replace(best, at, size, new byte[0]);
                tries++;
                if (what.equals(wrong(target, shorter))) {
                    best = shorter;
                } else {
                    at += size;
                }
            }
        }
        for (int at = 0; at < best.length && tries < 6_000; at++) {
            byte[] plainer = best.clone();
            plainer[at] = 0;
            tries++;
            if (best[at] != 0 && what.equals(wrong(target, plainer))) {
                best = plainer;
            }
        }
        Probes.foundNew();
        return best;
    }

    /** The inputs that, in this order, each come to a place where those before had not come; the shortest first. */
    public static List<byte[]> distilled(Target target, List<byte[]> inputs) {
        List<byte[]> sorted = new ArrayList<>(inputs);
        sorted.sort((a, b) -> a.length != b.length ? a.length - b.length : Arrays.compare(a, b));
        Probes.forget();
        List<byte[]> kept = new ArrayList<>();
        for (byte[] input : sorted) {
            if (wrong(target, input) == null && Probes.foundNew()) {
                kept.add(input);
            }
        }
        return kept;
    }

    public List<byte[]> corpus() {
        return corpus;
    }
}
