package vetchrill.tool;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import java.text.MessageFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.ResourceBundle;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * System.Logger for the tools, with logback behind it: as lines of text, or as lines of JSON in which what was handed
 * over as {@link Field} stands as a field of its own and not in a sentence.
 */
public final class ToolLog extends System.LoggerFinder {
    /** The properties by which the command line says what it wants, before the first line is logged. */
    public static final String FORMAT = "vetchrill.log.format";
    public static final String LEAST = "vetchrill.log.level";
    public static final String TARGET = "vetchrill.log.target";

    /** A parameter with a name. */
    public record Field(String name, Object value) {
        @Override
        public String toString() {
            return name + "=" + value;
        }
    }

    public static Field field(String name, Object value) {
        return new Field(name, value);
    }

    private static LoggerContext context;

    @Override
    public System.Logger getLogger(String name, Module module) {
        return new Lines(logger(name));
    }

    private static synchronized org.slf4j.Logger logger(String name) {
        if (context == null) {
            context = (LoggerContext) LoggerFactory.getILoggerFactory();
            context.reset();
            ConsoleAppender<ILoggingEvent> out = new ConsoleAppender<>();
            out.setContext(context);
            out.setTarget("out".equals(System.getProperty(TARGET)) ? "System.out" : "System.err");
            out.setEncoder(encoder());
            out.start();
            ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
            root.addAppender(out);
            String least = System.getProperty(LEAST, System.getenv("VETCHRILL_LOG"));
            root.setLevel(ch.qos.logback.classic.Level.toLevel(least, ch.qos.logback.classic.Level.INFO));
            // What the libraries say of themselves helps nobody who has not asked for it.
            context.getLogger("org.apache.arrow").setLevel(ch.qos.logback.classic.Level.WARN);
            context.getLogger("io.netty").setLevel(ch.qos.logback.classic.Level.WARN);
        }
        return context.getLogger(name);
    }

    private static Encoder<ILoggingEvent> encoder() {
        if ("json".equals(System.getProperty(FORMAT))) {
            JsonEncoder json = new JsonEncoder();
            json.setContext(context);
            json.setWithFormattedMessage(false);
            json.setWithArguments(false);
            json.setWithContext(false);
            json.setWithSequenceNumber(false);
            json.setWithNanoseconds(false);
            json.setWithMDC(false);
            json.start();
            return json;
        }
        PatternLayoutEncoder text = new PatternLayoutEncoder();
        text.setContext(context);
        text.setPattern("%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z', UTC} %level %logger: %msg%replace( %kvp{NONE}){'^ $',''}%n");
        text.start();
        return text;
    }

    private record Lines(org.slf4j.Logger to) implements System.Logger {
        @Override
        public String getName() {
            return to.getName();
        }

        private static org.slf4j.event.Level of(System.Logger.Level level) {
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
            return level != System.Logger.Level.OFF && to.isEnabledForLevel(of(level));
        }

        @Override
        public void log(System.Logger.Level level, ResourceBundle bundle, String text, Throwable thrown) {
            if (isLoggable(level)) {
                to.atLevel(of(level)).setCause(thrown).log(text);
            }
        }

        @Override
        public void log(System.Logger.Level level, ResourceBundle bundle, String format, Object... values) {
            if (!isLoggable(level)) {
                return;
            }
            LoggingEventBuilder event = to.atLevel(of(level));
            List<Object> plain = new ArrayList<>();
            for (Object value : values == null ? new Object[0] : values) {
                if (value instanceof Field field) {
                    event = event.addKeyValue(field.name, field.value);
                } else {
                    plain.add(String.valueOf(value));
                }
            }
            event.log(plain.isEmpty() ? format : MessageFormat.format(format, plain.toArray()));
        }
    }
}
