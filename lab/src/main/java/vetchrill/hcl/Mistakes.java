package vetchrill.hcl;

import java.util.List;

/** All that is wrong with what a person wrote, one line each with file, line, key and what is allowed. */
public final class Mistakes extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public final transient List<String> each;

    public Mistakes(List<String> each) {
        super(String.join("\n", each));
        this.each = List.copyOf(each);
    }
}
