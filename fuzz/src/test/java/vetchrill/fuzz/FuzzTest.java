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
    /** Classes that read no bytes of others though they look like it. */
    private static final Set<String> NO_PARSERS = Set.of("vetchrill.protocol.HealthReportSink");

    @DataProvider
    public Object[][] targets() {
        return Targets.all(FuzzTest.class.getClassLoader()).stream().map(each -> new Object[] {each.name(), each})
                .toArray(Object[][]::new);
    }

    /** Each finding stays in the corpus under its target, and is played here for good. */
    @Test(dataProvider = "targets")
    public void theCorpusPlaysWithNothingWrong(String name, Target target) throws IOException {
        for (byte[] seed : target.seeds()) {
            assertEquals(Fuzzer.wrong(target, seed), null, name);
        }
        for (Map.Entry<Path, byte[]> each : FuzzCommand.corpus(CORPUS, name).entrySet()) {
            assertEquals(Fuzzer.wrong(target, each.getValue()), null, each.getKey().toString());
        }
    }

    /** The same seed, the same inputs and the same places: a verdict that changes by itself is none. */
    public void aRunHangsOnItsSeedAlone() throws IOException {
        List<String> runs = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Target chain = FuzzCommand.targets(new ProductLoader(null, true), "chain").get(0);
            Fuzzer.Result result = new Fuzzer(chain, 3, Fuzzer.Way.GUIDED, false).run(60, Long.MAX_VALUE,
                    chain.seeds());
            runs.add(result.kept() + " kept, " + result.reached() + " places, " + result.found().size());
        }
        assertEquals(runs.get(1), runs.get(0));
    }

    /** Whoever adds a parser adds a target: what reads bytes, text or streams of others is covered by one. */
    public void everyParserHasATarget() throws IOException {
        Set<String> covered = new HashSet<>();
        for (Target target : Targets.all(FuzzTest.class.getClassLoader())) {
            target.covers().forEach(each -> covered.add(each.getName()));
        }
        List<String> bare = new ArrayList<>();
        for (Path classes : List.of(Path.of("../instance/target/classes"), Path.of("../lab/target/classes"))) {
            try (var files = Files.walk(classes)) {
                for (Path file : files.filter(each -> each.toString().endsWith(".class")).toList()) {
                    String name = classes.relativize(file).toString().replace(".class", "").replace('/', '.');
                    if (name.matches("vetchrill\\.(protocol|wire|capture|hcl|fleet)\\."
                            + "[A-Za-z]*(Reader|Parser|File|Lines"
                            + "|Call|Fields|Block|Capture|Order|Host)") && !covered.contains(name)
                            && !NO_PARSERS.contains(name)) {
                        bare.add(name);
                    }
                }
            }
        }
        assertTrue(bare.isEmpty(), "no target covers " + bare);
    }

    /** The guide, the oracle and the plant work together: a fault that is known is found, and made short. */
    public void aPlantedFaultIsFoundAndItsInputMadeShort() {
        Target honest = FuzzCommand.targets(FuzzTest.class.getClassLoader(), "frames").get(0);
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
                    throw new Finding("planted");
                }
            }

            @Override
            public List<byte[]> seeds() {
                return honest.seeds();
            }
        };
        Fuzzer.Result result = new Fuzzer(faulty, 1, Fuzzer.Way.GUIDED, false).run(200_000, Long.MAX_VALUE,
                faulty.seeds());
        assertEquals(result.found().get(0).what(), "planted");
        assertEquals(result.found().get(0).input(), new byte[] {0, 0, 77, 0});
    }
}
