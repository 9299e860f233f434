package vetchrill.program;

import java.text.MessageFormat;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ResourceBundle;

/**
 * One line for each record on standard output. The runtime's own logging closes its handlers in a hook of its own
 * when the process ends, and takes a tenth of a second to load on a shared core.
 */
public final class ConsoleLog extends System.LoggerFinder {
    private static final System.Logger.Level LEAST = level();

    @Override
    public System.Logger getLogger(String name, Module module) {
        return new Lines(name);
    }

    private static System.Logger.Level level() {
        String told = System.getenv("VETCHRILL_LOG");
        for (System.Logger.Level level : System.Logger.Level.values()) {
            if (level.name().equalsIgnoreCase(told)) {
                return level;
            }
        }
        return System.Logger.Level.INFO;
    }

    private record Lines(String name) implements System.Logger {
        @Override
        public String getName() {
            return name;
        }

        @Override
        public boolean isLoggable(Level level) {
            return level.getSeverity() >= LEAST.getSeverity() && level != Level.OFF;
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
                Object[] plain = new Object[values == null ? 0 : values.length];
                for (int i = 0; i < plain.length; i++) {
                    plain[i] = String.valueOf(values[i]);
                }
                write(level, plain.length == 0 ? format : MessageFormat.format(format, plain));
            }
        }

        private void write(Level level, String text) {
            String line = Instant.now().truncatedTo(ChronoUnit.MILLIS) + " " + level + " " + name + ": "
                    + text.replace('\n', ' ').replace('\r', ' ') + "\n";
            byte[] bytes = line.getBytes(java.nio.charset.StandardCharsets.UTF_8);
            System.out.write(bytes, 0, bytes.length);
            System.out.flush();
        }
    }
}
