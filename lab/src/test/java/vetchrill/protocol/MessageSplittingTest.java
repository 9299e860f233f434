package vetchrill.protocol;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;
import vetchrill.InstanceRig.StubClient;
import vetchrill.transport.Connection;
import vetchrill.transport.Limits;

/** Messages are parsed the same at whichever byte the network splits them. */
@Test
public class MessageSplittingTest {
    private final Limits limits = new Limits(192 << 20, 64);

    /** Passes the bytes in two parts, the unconsumed rest of the first again with the second, as a connection does. */
    private static void consumeInTwoParts(Connection.InputHandler handler, byte[] bytes, int split) {
        int from = 0;
        for (int to : new int[] {split, bytes.length}) {
            int consumedBytes = 1;
            while (consumedBytes > 0 && from < to) {
                byte[] seen = Arrays.copyOf(bytes, to);
                consumedBytes = handler.consume(seen, from, to);
                from += Math.max(0, consumedBytes);
                Arrays.fill(seen, (byte) '?');
            }
        }
        handler.inputEnded("over", false);
    }

    public void framesSplitAtAnyByteParseTheSame() throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(StubClient.exchange(1, "look", "00000000000000aa", "b\0dy"));
        all.write(StubClient.frame(2, 2, new byte[20_000]));
        all.write(StubClient.frame(16, 3, StubClient.payload("")));
        byte[] bytes = all.toByteArray();
        for (int split = 0; split <= bytes.length; split += split < 300 || split > 20_000 ? 1 : 97) {
            List<String> seen = new ArrayList<>();
            consumeInTwoParts(new FrameReader(limits, new FrameReader.Handler() {
                @Override
                public boolean onFrame(int type, int stream, byte[] buf, int from, int to) {
                    Fields fields = new Fields();
                    String error = fields.parse(buf, from, to);
                    seen.add(type + " " + stream + " " + error + " " + fields.text("rid") + " " + fields.number("mem")
                            + " " + new String(buf, fields.bodyOffset(), to - fields.bodyOffset(),
                                    StandardCharsets.ISO_8859_1));
                    return true;
                }

                @Override
                public boolean onOversizedFrame(int type, int stream, int length) {
                    seen.add("oversized " + type + " " + stream);
                    return true;
                }

                @Override
                public void onMalformedInput(String reason) {
                    seen.add(reason);
                }

                @Override
                public void onInputEnded(boolean disconnected) {
                    seen.add("over");
                }
            }), bytes, split);
            assertEquals(seen, List.of("2 1 null 00000000000000aa 24.5 b\0dy", "oversized 2 2",
                    "16 3 null null NaN ", "over"), "split at " + split);
        }
    }

    public void linesSplitAtAnyByteParseTheSame() {
        byte[] bytes = ("BANNER old 3600000\r\nVALUE 1 aa good 12.5 6\r\nA\r\nB\r\n\r\nTOPS 7 0.5 1 0.1 3\r\n"
                + "NOVELTY 1 2\r\nTRACE 2 hello there\r\nVALUE 3 bb gone 0 0\r\n\r\nERROR APPLY cc\r\n")
                .getBytes(StandardCharsets.UTF_8);
        for (int split = 0; split <= bytes.length; split++) {
            List<String> seen = new ArrayList<>();
            consumeInTwoParts(new InterpreterLines(limits, new InterpreterLines.Handler() {
                @Override
                public void onBanner(String state, long sinceStart) {
                    seen.add(state + " " + sinceStart);
                }

                @Override
                public void onValue(long noticeNumber, String id, String runStatus, long runDuration, byte[] buf,
                        int from, int to) {
                    seen.add(noticeNumber + " " + id + " " + runStatus + " " + runDuration + " "
                            + new String(buf, from, to - from, StandardCharsets.UTF_8));
                }

                @Override
                public void onGauges(String tag, double[] row) {
                    seen.add(tag + " " + Arrays.toString(row));
                }

                @Override
                public void onError(String text) {
                    seen.add(text);
                }

                @Override
                public void onTrace(long noticeNumber, String text) {
                    seen.add("trace " + noticeNumber);
                }

                @Override
                public void onInputEnded(String reason) {
                    seen.add("over");
                }
            }), bytes, split);
            assertEquals(seen, List.of("old 36000000", "1 aa good 125 A\r\nB\r\n", "7 [0.5, 1.0, 0.1, 3.0]", "trace 2",
                    "3 bb gone 0 ", "ERROR APPLY cc", "over"), "split at " + split);
        }
    }

    public void answersMatchTheWireFormat() {
        assertEquals(Frames.denied(5, 250, true), new byte[] {0, 0, 0, 29, 4, 0, 0, 0, 5, 66, 2,
            7, 'b', 'a', 'c', 'k', 'o', 'f', 'f', 0, 3, '2', '5', '0', 5, 'f', 'i', 'n', 'a', 'l', 0, 1, '1'});
        assertEquals(Frames.denied(5, 0, false), new byte[] {0, 0, 0, 7, 4, 0, 0, 0, 5, 66, 0});
        assertEquals(Frames.goAway(), new byte[] {0, 0, 0, 5, 64, 0, 0, 0, 0});
    }
}
