package vetchrill.wire;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/**
 * Reads one line at a time and walks over its fields in place, so that a line allocates nothing. A line is a name and
 * fields of the form key=value, separated by single spaces.
 */
final class LineParser {
    private final InputStream in;
    private byte[] buffer = new byte[1 << 16];
    private int filled;
    private int lineStart;
    private int lineEnd;
    private int position;
    private int nameEnd;
    private int keyStart;
    private int keyEnd;
    private int valueStart;
    private int valueEnd;
    private long lineNumber;

    LineParser(InputStream in) {
        this.in = in;
    }

    /** Advances to the next line; returns false at the end of the input. */
    boolean nextLine() throws IOException {
        int start = lineNumber == 0 ? 0 : lineEnd + 1;
        int index = start;
        while (true) {
            while (index < filled && buffer[index] != '\n') {
                index++;
            }
            if (index < filled) {
                break;
            }
            int unparsed = filled - start;
            if (start > 0 && unparsed >= 0) {
                System.arraycopy(buffer, start, buffer, 0, unparsed);
            }
            filled = unparsed;
            index = unparsed;
            start = 0;
            if (filled == buffer.length) {
                buffer = java.util.Arrays.copyOf(buffer, buffer.length * 2);
            }
            int bytesRead = in.read(buffer, filled, buffer.length - filled);
            if (bytesRead < 0) {
                if (filled == 0) {
                    return false;
                }
                lineNumber++;
                throw error("the input ends in the middle of a line");
            }
            filled += bytesRead;
        }
        lineNumber++;
        lineStart = start;
        lineEnd = index;
        position = start;
        while (position < lineEnd && buffer[position] != ' ') {
            position++;
        }
        nameEnd = position;
        return true;
    }

    /** An exception that names the present line; the caller throws it. */
    WireFormatException error(String reason) {
        return new WireFormatException(lineNumber, reason);
    }

    /** The name of the message in the present line. */
    String name() {
        return new String(buffer, lineStart, nameEnd - lineStart, StandardCharsets.UTF_8);
    }

    /** Advances to the next field; returns false at the end of the line. */
    boolean nextField() {
        if (position >= lineEnd) {
            return false;
        }
        keyStart = position + 1;
        int index = keyStart;
        while (index < lineEnd && buffer[index] != '=' && buffer[index] != ' ') {
            index++;
        }
        if (index >= lineEnd || buffer[index] != '=' || index == keyStart) {
            throw error("a field that is not key=value in '" + name() + "'");
        }
        keyEnd = index;
        valueStart = index + 1;
        index = valueStart;
        while (index < lineEnd && buffer[index] != ' ') {
            index++;
        }
        valueEnd = index;
        position = index;
        return true;
    }

    boolean keyIs(String key) {
        return matches(keyStart, keyEnd, key);
    }

    boolean valueIs(String value) {
        return matches(valueStart, valueEnd, value);
    }

    private boolean matches(int from, int to, String text) {
        if (to - from != text.length()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (buffer[from + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** The value of the present field. */
    String text() {
        return new String(buffer, valueStart, valueEnd - valueStart, StandardCharsets.UTF_8);
    }

    /** The value of the present field if it extends to the end of the line, spaces included. */
    String restOfLine() {
        valueEnd = lineEnd;
        position = lineEnd;
        return text();
    }

    WireFormatException badValue(String expected) {
        String key = new String(buffer, keyStart, keyEnd - keyStart, StandardCharsets.UTF_8);
        return error("'" + key + "' of '" + name() + "' should be " + expected + ", not '" + text() + "'");
    }

    long wholeNumber() {
        int index = valueStart;
        boolean negative = index < valueEnd && buffer[index] == '-';
        if (negative) {
            index++;
        }
        if (index == valueEnd) {
            throw badValue("a whole number");
        }
        long value = 0;
        for (; index < valueEnd; index++) {
            int digit = buffer[index] - '0';
            if (digit < 0 || digit > 9 || value > (Long.MAX_VALUE - digit) / 10) {
                throw badValue("a whole number");
            }
            value = value * 10 + digit;
        }
        return negative ? -value : value;
    }

    double number() {
        return number(valueStart, valueEnd);
    }

    /** Parses a list separated by commas into {@code into}, as far as that has room; returns the count. */
    int numberList(double[] into) {
        int count = 0;
        int from = valueStart;
        while (from <= valueEnd && valueEnd > valueStart) {
            int to = from;
            while (to < valueEnd && buffer[to] != ',') {
                to++;
            }
            if (count < into.length) {
                into[count++] = number(from, to);
            }
            from = to + 1;
        }
        return count;
    }

    private double number(int from, int to) {
        int index = from;
        boolean negative = index < to && buffer[index] == '-';
        if (negative) {
            index++;
        }
        long digits = 0;
        long scale = 1;
        boolean pointSeen = false;
        boolean digitSeen = false;
        for (; index < to; index++) {
            byte c = buffer[index];
            if (c == '.' && !pointSeen) {
                pointSeen = true;
            } else if (c >= '0' && c <= '9' && digits < 100_000_000_000_000_000L) {
                digits = digits * 10 + c - '0';
                scale = pointSeen ? scale * 10 : scale;
                digitSeen = true;
            } else {
                return parseUnusualNumber(from, to);
            }
        }
        if (!digitSeen) {
            throw badValue("a number");
        }
        double value = (double) digits / scale;
        return negative ? -value : value;
    }

    /** Parses what the fast path does not: an exponent, or very many digits. */
    private double parseUnusualNumber(int from, int to) {
        try {
            double value = Double.parseDouble(new String(buffer, from, to - from, StandardCharsets.UTF_8));
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw badValue("a number");
        }
        throw badValue("a number");
    }

    /** A value in milliseconds as tenths of a millisecond, rounded down, so that no deadline seems later than it is. */
    long tenthsOfMs() {
        return (long) Math.floor(number() * 10 + 1e-6);
    }
}
