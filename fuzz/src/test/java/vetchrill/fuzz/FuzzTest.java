package vetchrill.fuzz;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

@Test
public class FuzzTest {
    private static final Path CORPUS = Path.of("corpus");
    /** Classes that read no external input although their names suggest it. */
    private static final Set<String> NOT_PARSERS = Set.of("vetchrill.protocol.HealthReportSink");

    @DataProvider
    public Object[][] targets() {
        return TargetLoader.all(FuzzTest.class.getClassLoader()).stream().map(each -> new Object[] {each.name(), each})
                .toArray(Object[][]::new);
    }

    /** Regression test: inputs of former findings stay in the corpus of their target. */
    @Test(dataProvider = "targets")
    public void corpusRunsWithoutFindings(String name, Target target) throws IOException {
        for (byte[] seed : target.seeds()) {
            assertEquals(Fuzzer.problemOf(target, seed), null, name);
        }
        for (Map.Entry<Path, byte[]> each : FuzzCommand.readCorpus(CORPUS, name).entrySet()) {
            assertEquals(Fuzzer.problemOf(target, each.getValue()), null, each.getKey().toString());
        }
    }

    /** The same seed must give the same inputs and the same coverage, or findings could not be reproduced. */
    public void resultDependsOnlyOnSeed() throws IOException {
        List<String> runs = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Target chain = FuzzCommand.selectTargets(new ProductLoader(null, true), "chain").get(0);
            Fuzzer.Result result = new Fuzzer(chain, 3, Fuzzer.Strategy.GUIDED, false).run(60, Long.MAX_VALUE,
                    chain.seeds());
            runs.add(result.corpusSize() + " kept, " + result.coveredProbes() + " places, " + result.findings().size());
        }
        assertEquals(runs.get(1), runs.get(0));
    }

    /** Fails for a new parser of external bytes, text or streams that no target covers. */
    public void everyParserHasATarget() throws IOException {
        Set<String> covered = new HashSet<>();
        for (Target target : TargetLoader.all(FuzzTest.class.getClassLoader())) {
            target.covers().forEach(each -> covered.add(each.getName()));
        }
        List<String> uncovered = new ArrayList<>();
        for (Path classes : List.of(Path.of("../instance/target/classes"), Path.of("../lab/target/classes"))) {
            try (var files = Files.walk(classes)) {
                for (Path file : files.filter(each -> each.toString().endsWith(".class")).toList()) {
                    String name = classes.relativize(file).toString().replace(".class", "").replace('/', '.');
                    if (name.matches("vetchrill\\.(protocol|wire|capture|hcl|fleet)\\."
                            + "[A-Za-z]*(Reader|Parser|File|Lines"
                            + "|Call|Fields|Block|Capture|Config|Host)") && !covered.contains(name)
                            && !NOT_PARSERS.contains(name)) {
                        uncovered.add(name);
                    }
                }
            }
        }
        assertTrue(uncovered.isEmpty(), "no target covers " + uncovered);
    }

    /** A planted fault that no longer fits its source would end `make measure-fuzz` instead of being looked for. */
    public void everyPlantedFaultFitsItsSource() throws IOException {
        List<String> unfit = new ArrayList<>();
        try (var files = Files.list(Path.of("faults"))) {
            for (Path file : files.sorted().toList()) {
                FaultsCommand.Fault fault = FaultsCommand.Fault.read(file);
                if (fault.offsetIn(Files.readString(Path.of("..").resolve(fault.file()))) < 0) {
                    unfit.add(fault.name());
                }
            }
        }
        assertEquals(unfit, List.of());
    }

    /** The fuzzer finds a known fault by coverage guidance and minimises its input. */
    public void plantedFaultIsFoundAndMinimised() {
        Target honest = FuzzCommand.selectTargets(FuzzTest.class.getClassLoader(), "frames").get(0);
        Target faulty = new Target() {
            @Override
            public String name() {
                return "faulty";
            }

            @Override
            public List<Class<?>> covers() {
                return List.of();
            }

            @Override
            public void run(byte[] input) {
                honest.run(input);
                if (input.length > 3 && input[2] == 77) {
                    throw new InvariantViolation("planted");
                }
            }

            @Override
            public List<byte[]> seeds() {
                return honest.seeds();
            }
        };
        Fuzzer.Result result = new Fuzzer(faulty, 1, Fuzzer.Strategy.GUIDED, false).run(200_000, Long.MAX_VALUE,
                faulty.seeds());
        assertEquals(result.findings().get(0).problem(), "planted");
        assertEquals(result.findings().get(0).input(), new byte[] {0, 0, 77, 0});
    }
}
