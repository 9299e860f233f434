package vetchrill.hcl;

import java.util.List;

/** All that is wrong with what a person wrote, one line each with file, line, key and what is allowed. */
public final class ConfigErrors extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public final transient List<String> messages;

    public ConfigErrors(List<String> messages) {
        super(String.join("\n", messages));
        this.messages = List.copyOf(messages);
    }
}
