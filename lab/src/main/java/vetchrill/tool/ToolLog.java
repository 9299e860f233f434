package vetchrill.tool;

import java.text.MessageFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.ResourceBundle;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Routes System.Logger to logback for the tools. Lines are text, or JSON in which each {@link Field} is a separate
 * field.
 */
public final class ToolLog extends System.LoggerFinder {
    /** System properties that configure logging; the command line sets them before the first line is logged. */
    public static final String FORMAT_PROPERTY = "vetchrill.log.format";
    public static final String LEVEL_PROPERTY = "vetchrill.log.level";
    public static final String TARGET_PROPERTY = "vetchrill.log.target";

    /** A named parameter of a log line. */
    public record Field(String name, Object value) {
        @Override
        public String toString() {
            return name + "=" + value;
        }
    }

    public static Field field(String name, Object value) {
        return new Field(name, value);
    }

    @Override
    public System.Logger getLogger(String name, Module module) {
        return new Slf4jLogger(LoggerFactory.getLogger(name));
    }

    private record Slf4jLogger(org.slf4j.Logger delegate) implements System.Logger {
        @Override
        public String getName() {
            return delegate.getName();
        }

        private static org.slf4j.event.Level toSlf4jLevel(System.Logger.Level level) {
            return switch (level) {
                case ALL, TRACE -> org.slf4j.event.Level.TRACE;
                case DEBUG -> org.slf4j.event.Level.DEBUG;
                case INFO -> org.slf4j.event.Level.INFO;
                case WARNING -> org.slf4j.event.Level.WARN;
                case ERROR, OFF -> org.slf4j.event.Level.ERROR;
            };
        }

        @Override
        public boolean isLoggable(System.Logger.Level level) {
            return level != System.Logger.Level.OFF && delegate.isEnabledForLevel(toSlf4jLevel(level));
        }

        @Override
        public void log(System.Logger.Level level, ResourceBundle bundle, String text, Throwable thrown) {
            if (isLoggable(level)) {
                delegate.atLevel(toSlf4jLevel(level)).setCause(thrown).log(text);
            }
        }

        @Override
        public void log(System.Logger.Level level, ResourceBundle bundle, String format, Object... values) {
            if (!isLoggable(level)) {
                return;
            }
            LoggingEventBuilder event = delegate.atLevel(toSlf4jLevel(level));
            List<Object> arguments = new ArrayList<>();
            for (Object value : values == null ? new Object[0] : values) {
                if (value instanceof Field field) {
                    event = event.addKeyValue(field.name, field.value);
                } else {
                    arguments.add(String.valueOf(value));
                }
            }
            event.log(arguments.isEmpty() ? format : MessageFormat.format(format, arguments.toArray()));
        }
    }
}
