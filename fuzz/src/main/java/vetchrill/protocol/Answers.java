package vetchrill.protocol;

import java.io.IOException;
import java.io.InputStream;

/** The membership call's reading of an answer, which is no part of what the program offers. */
public final class Answers {
    private Answers() {
    }

    /** The status, negative where the connection may not be used again. */
    public static int read(InputStream in) throws IOException {
        MembershipCall.Answer answer = MembershipCall.read(in);
        return answer.lasts() ? answer.code() : -answer.code();
    }

    public static int longestHead() {
        return 8 << 10;
    }
}
