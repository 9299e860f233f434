package vetchrill.program;

import java.util.Map;

/** A start as the program reads it, without anything started. */
public final class StartConfigurations {
    private StartConfigurations() {
    }

    /** Throws IllegalArgumentException for a configuration of no use. */
    public static void read(Map<String, String> environment) {
        new StartConfiguration(environment);
    }

    public static Class<?> configurationClass() {
        return StartConfiguration.class;
    }
}
