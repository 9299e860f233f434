package vetchrill.hcl;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import vetchrill.fleet.FleetFileReader;

@Test
public class ConfigBlockTest {
    private static List<String> errorsIn(String text) {
        try {
            FleetFileReader.read(ConfigBlock.parse("f.hcl", text));
        } catch (ConfigErrors errors) {
            return errors.messages;
        }
        throw new AssertionError("the file was accepted");
    }

    public void reportsAllErrorsOfAFileWithTheirLines() {
        List<String> errors = errorsIn("kind \"a\" {\n  cores = 0\n  memory_mb = \"much\"\n  colour = 3\n  "
                + "crowd_from = 2\n}\n"
                + "zone \"z\" { relays = { b = 1 } }\ngroup \"g\" {\n  slo_ms = 500\n  timeout_ms = 100\n}\n"
                + "stubs \"s\" {\n  count = 1.5\n  retry = \"often\"\n}\n");
        assertEquals(errors, List.of(
                "f.hcl:2: cores: is 0, should be a number from 1 to 1024",
                "f.hcl:3: memory_mb: should be a number from 0.1 to 1000000",
                errors.get(2),
                "f.hcl:5: crowd_from: crowd_from and crowd_loss must be set together",
                "f.hcl:7: relays: names kind 'b', which no kind block describes",
                "f.hcl:10: timeout_ms: is below slo_ms, should be at least as long",
                "f.hcl:13: count: is 1.5, should be a whole number from 1 to 5000",
                "f.hcl:14: retry: is 'often', should be one of none, limited, unlimited"));
        assertTrue(errors.get(2).startsWith("f.hcl:4: colour: is not known in kind \"a\", allowed are cold_share"),
                errors.get(2));
    }

    public void namesTheBlockOfAMissingKey() {
        assertTrue(errorsIn("kind \"a\" {\n  memory_mb = 1\n}\n").contains(
                "f.hcl:1: cores: is missing in kind \"a\", should be a number from 1 to 1024"));
    }

    public void rejectsIncompleteOrUnbalancedText() {
        for (String text : new String[] {"kind \"a\" {\n cores = 2\n", "name = \"x", "kind", "}",
                "kind \"a\" { cores = }"}) {
            assertThrows(ConfigErrors.class, () -> FleetFileReader.read(ConfigBlock.parse("f.hcl", text)));
        }
    }

    public void rejectsADuplicateKey() {
        assertTrue(errorsIn("name = \"a\"\nname = \"b\"\n").contains("f.hcl:2: name: is given twice"));
    }
}
