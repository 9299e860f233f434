package vetchrill.program;

import java.nio.charset.StandardCharsets;
import java.text.MessageFormat;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ResourceBundle;

/**
 * Logger that writes one line per record to standard output. It replaces java.util.logging, which closes its handlers
 * in a shutdown hook of its own and takes a tenth of a second to load on a shared core.
 */
public final class ConsoleLog extends System.LoggerFinder {
    private static final System.Logger.Level MIN_LEVEL = configuredLevel();

    @Override
    public System.Logger getLogger(String name, Module module) {
        return new ConsoleLogger(name);
    }

    private static System.Logger.Level configuredLevel() {
        String configured = System.getenv("VETCHRILL_LOG");
        for (System.Logger.Level level : System.Logger.Level.values()) {
            if (level.name().equalsIgnoreCase(configured)) {
                return level;
            }
        }
        return System.Logger.Level.INFO;
    }

    private record ConsoleLogger(String name) implements System.Logger {
        @Override
        public String getName() {
            return name;
        }

        @Override
        public boolean isLoggable(Level level) {
            return level.getSeverity() >= MIN_LEVEL.getSeverity() && level != Level.OFF;
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String text, Throwable thrown) {
            if (isLoggable(level)) {
                write(level, thrown == null ? text : text + ": " + thrown);
            }
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String format, Object... values) {
            if (isLoggable(level)) {
                Object[] arguments = new Object[values == null ? 0 : values.length];
                for (int i = 0; i < arguments.length; i++) {
                    arguments[i] = String.valueOf(values[i]);
                }
                write(level, arguments.length == 0 ? format : MessageFormat.format(format, arguments));
            }
        }

        private void write(Level level, String text) {
            String line = Instant.now().truncatedTo(ChronoUnit.MILLIS) + " " + level + " " + name + ": "
                    + text.replace('\n', ' ').replace('\r', ' ') + "\n";
            byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
            System.out.write(bytes, 0, bytes.length);
            System.out.flush();
        }
    }
}
