package vetchrill.hcl;

import java.util.List;

/** All errors of a configuration file, one message each, with file, line, key and the allowed values. */
public final class ConfigErrors extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public final transient List<String> messages;

    public ConfigErrors(List<String> messages) {
        super(String.join("\n", messages));
        this.messages = List.copyOf(messages);
    }
}
