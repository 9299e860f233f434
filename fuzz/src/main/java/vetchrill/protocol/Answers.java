package vetchrill.protocol;

import java.io.IOException;
import java.io.InputStream;

/** The membership call's reading of an answer, which is no part of what the program offers. */
public final class Answers {
    private Answers() {
    }

    /** The status, negative where the connection may not be used again. */
    public static int read(InputStream in) throws IOException {
        MembershipCall.Response answer = MembershipCall.readResponse(in);
        return answer.keepAlive() ? answer.status() : -answer.status();
    }

    public static int longestHead() {
        return 8 << 10;
    }
}
