package vetchrill.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/**
 * The fields of one frame: a byte with their count, then for each a byte with the size of its name, the name, two bytes
 * with the size of its value, and the value. They are parsed in place, so names and values are slices of the buffer and
 * valid as long as its content.
 */
public final class Fields {
    /** The count is one byte. */
    private static final int MAX_FIELDS = 255;
    /** More digits could overflow a long. */
    private static final int MAX_WHOLE_DIGITS = 18;
    private static final int MAX_NUMBER_CHARS = 32;

    private final int[] nameFrom = new int[MAX_FIELDS];
    private final int[] nameSize = new int[MAX_FIELDS];
    private final int[] valueFrom = new int[MAX_FIELDS];
    private final int[] valueSize = new int[MAX_FIELDS];
    private byte[] buf;
    private int count;
    private int bodyOffset;

    /** Parses the fields at {@code from}; returns null, or an error message if they are malformed. */
    public String parse(byte[] buf, int from, int to) {
        this.buf = buf;
        count = 0;
        bodyOffset = to;
        if (from >= to) {
            return "missing field count";
        }
        int declaredCount = buf[from] & 0xff;
        int position = from + 1;
        for (int i = 0; i < declaredCount; i++) {
            if (position >= to) {
                return "truncated fields";
            }
            nameSize[i] = buf[position] & 0xff;
            nameFrom[i] = position + 1;
            position += 1 + nameSize[i];
            if (position + 2 > to) {
                return "truncated fields";
            }
            valueSize[i] = (buf[position] & 0xff) << 8 | buf[position + 1] & 0xff;
            valueFrom[i] = position + 2;
            position += 2 + valueSize[i];
            if (position > to) {
                return "truncated fields";
            }
            for (int j = 0; j < i; j++) {
                if (sameBytes(nameFrom[i], nameSize[i], nameFrom[j], nameSize[j])) {
                    return "duplicate field";
                }
            }
            count = i + 1;
        }
        bodyOffset = position;
        return null;
    }

    private boolean sameBytes(int from, int size, int otherFrom, int otherSize) {
        return size == otherSize && Arrays.equals(buf, from, from + size, buf, otherFrom, otherFrom + size);
    }

    /** The offset at which the fields end and the body begins. */
    public int bodyOffset() {
        return bodyOffset;
    }

    /** Returns the value of a field, or null if it is absent. */
    public String text(String name) {
        int i = find(name);
        return i < 0 ? null : new String(buf, valueFrom[i], valueSize[i], StandardCharsets.UTF_8);
    }

    /** Returns the index of a field's value in {@code candidates}; -1 if it is absent or none of them. */
    public int indexIn(String name, List<String> candidates) {
        int i = find(name);
        if (i >= 0) {
            for (int candidate = 0; candidate < candidates.size(); candidate++) {
                if (equalsText(valueFrom[i], valueSize[i], candidates.get(candidate))) {
                    return candidate;
                }
            }
        }
        return -1;
    }

    /** Computes a value from a slice of a buffer. */
    public interface SliceFunction {
        long apply(byte[] buf, int from, int to);
    }

    /** Returns the result of {@code function} for the value of a field; 0 if it is absent. */
    public long mapValue(String name, SliceFunction function) {
        int i = find(name);
        return i < 0 ? 0 : function.apply(buf, valueFrom[i], valueFrom[i] + valueSize[i]);
    }

    /** Returns a field as a whole number of up to 18 digits; -1 if it is absent or not such a number. */
    public long wholeNumber(String name) {
        int i = find(name);
        if (i < 0 || valueSize[i] == 0 || valueSize[i] > MAX_WHOLE_DIGITS) {
            return -1;
        }
        long value = 0;
        for (int position = valueFrom[i]; position < valueFrom[i] + valueSize[i]; position++) {
            int digit = buf[position] - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            value = value * 10 + digit;
        }
        return value;
    }

    /** Returns a field as a non-negative finite number; NaN if it is absent or not such a number. */
    public double number(String name) {
        String text = text(name);
        if (text == null || text.isEmpty() || text.length() > MAX_NUMBER_CHARS) {
            return Double.NaN;
        }
        for (int position = 0; position < text.length(); position++) {
            char c = text.charAt(position);
            if ((c < '0' || c > '9') && c != '.' && c != 'e' && c != '-' && c != '+') {
                return Double.NaN;
            }
        }
        try {
            double value = Double.parseDouble(text);
            return value >= 0 && value < Double.POSITIVE_INFINITY ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    private int find(String name) {
        for (int i = 0; i < count; i++) {
            if (equalsText(nameFrom[i], nameSize[i], name)) {
                return i;
            }
        }
        return -1;
    }

    private boolean equalsText(int from, int size, String text) {
        // Names in the settings may contain non-ASCII characters; only then the slice is decoded to compare it.
        if (size == text.length()) {
            for (int i = 0; i < size; i++) {
                if (buf[from + i] != text.charAt(i)) {
                    return false;
                }
            }
            return true;
        }
        return size > text.length() && new String(buf, from, size, StandardCharsets.UTF_8).equals(text);
    }
}
