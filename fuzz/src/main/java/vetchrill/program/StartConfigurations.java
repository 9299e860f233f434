package vetchrill.program;

import java.util.Map;

/** Gives the fuzzer access to the parser of the start configuration. */
public final class StartConfigurations {
    private StartConfigurations() {
    }

    /** Parses a configuration; throws IllegalArgumentException if it is not valid. */
    public static void read(Map<String, String> environment) {
        new StartConfiguration(environment);
    }

    /** The class under test, which is not public. */
    public static Class<?> configurationClass() {
        return StartConfiguration.class;
    }
}
