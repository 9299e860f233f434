package vetchrill.tool;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures logback, which finds this class as a service. So its default configuration never applies, even if a
 * library logs first, and writes no lines to standard output, which is for the output of commands.
 */
public final class Logback extends ContextAwareBase implements Configurator {
    @Override
    public ExecutionStatus configure(LoggerContext context) {
        ConsoleAppender<ILoggingEvent> out = new ConsoleAppender<>();
        out.setContext(context);
        out.setTarget("out".equals(System.getProperty(ToolLog.TARGET_PROPERTY)) ? "System.out" : "System.err");
        out.setEncoder(encoder(context));
        out.start();
        Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.addAppender(out);
        root.setLevel(Level.toLevel(System.getProperty(ToolLog.LEVEL_PROPERTY, System.getenv("VETCHRILL_LOG")),
                Level.INFO));
        // Informational messages of libraries are noise here.
        context.getLogger("org.apache.arrow").setLevel(Level.WARN);
        context.getLogger("io.netty").setLevel(Level.WARN);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static Encoder<ILoggingEvent> encoder(LoggerContext context) {
        if ("json".equals(System.getProperty(ToolLog.FORMAT_PROPERTY))) {
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
}
