package vetchrill.protocol;

import java.io.IOException;
import java.io.InputStream;

/** The membership call's reading of an answer, which is no part of what the program offers. */
public final class MembershipResponses {
    private MembershipResponses() {
    }

    /** The status, negative where the connection may not be used again. */
    public static int readStatus(InputStream in) throws IOException {
        MembershipCall.Response response = MembershipCall.readResponse(in);
        return response.keepAlive() ? response.status() : -response.status();
    }

    public static int maxHeadBytes() {
        return 8 << 10;
    }
}
