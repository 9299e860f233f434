package vetchrill.protocol;

import java.io.IOException;
import java.io.InputStream;

/** Gives the fuzzer access to the response parser of the membership call. */
public final class MembershipResponses {
    private MembershipResponses() {
    }

    /** Reads a response; returns its status, negative if the connection may not be used again. */
    public static int readStatus(InputStream in) throws IOException {
        MembershipCall.Response response = MembershipCall.readResponse(in);
        return response.keepAlive() ? response.status() : -response.status();
    }

    /** The largest response head that the parser accepts. */
    public static int maxHeadBytes() {
        return 8 << 10;
    }
}
