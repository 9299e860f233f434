package vetchrill.protocol;

import java.nio.charset.StandardCharsets;

/** The fields of one frame, read in place: names and values are slices of the buffer and live as long as it does. */
public final class Fields {
    private final int[] nameFrom = new int[255];
    private final int[] nameSize = new int[255];
    private final int[] valueFrom = new int[255];
    private final int[] valueSize = new int[255];
    private byte[] buf;
    private int count;
    private int bodyOffset;

    /** Reads the fields that start at {@code from}; what is wrong with them, or null. */
    public String parse(byte[] buf, int from, int to) {
        this.buf = buf;
        count = 0;
        bodyOffset = to;
        if (from >= to) {
            return "no fields";
        }
        int declaredCount = buf[from] & 0xff;
        int position = from + 1;
        for (int i = 0; i < declaredCount; i++) {
            if (position >= to) {
                return "fields cut short";
            }
            nameSize[i] = buf[position] & 0xff;
            nameFrom[i] = position + 1;
            position += 1 + nameSize[i];
            if (position + 2 > to) {
                return "fields cut short";
            }
            valueSize[i] = (buf[position] & 0xff) << 8 | buf[position + 1] & 0xff;
            valueFrom[i] = position + 2;
            position += 2 + valueSize[i];
            if (position > to) {
                return "fields cut short";
            }
            for (int j = 0; j < i; j++) {
                if (sameBytes(nameFrom[i], nameSize[i], nameFrom[j], nameSize[j])) {
                    return "a field given twice";
                }
            }
            count = i + 1;
        }
        bodyOffset = position;
        return null;
    }

    private boolean sameBytes(int from, int size, int otherFrom, int otherSize) {
        return size == otherSize
                && java.util.Arrays.equals(buf, from, from + size, buf, otherFrom, otherFrom + size);
    }

    /** Where the fields end, and the body begins. */
    public int bodyOffset() {
        return bodyOffset;
    }

    /** The value of a field, or null where it is absent. */
    public String text(String name) {
        int i = find(name);
        return i < 0 ? null : new String(buf, valueFrom[i], valueSize[i], StandardCharsets.UTF_8);
    }

    /** The position in {@code names} of the value of a field; -1 where it is absent or none of them. */
    public int indexIn(String name, java.util.List<String> candidates) {
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

    /** Tells a slice to whoever asks. */
    public interface SliceFunction {
        long apply(byte[] buf, int from, int to);
    }

    /** What {@code slice} makes of the value of a field; 0 where it is absent. */
    public long mapValue(String name, SliceFunction function) {
        int i = find(name);
        return i < 0 ? 0 : function.apply(buf, valueFrom[i], valueFrom[i] + valueSize[i]);
    }

    /** A whole number of up to 18 digits; -1 where it is absent or no such number. */
    public long wholeNumber(String name) {
        int i = find(name);
        if (i < 0 || valueSize[i] == 0 || valueSize[i] > 18) {
            return -1;
        }
        long value = 0;
        for (int at = valueFrom[i]; at < valueFrom[i] + valueSize[i]; at++) {
            int digit = buf[at] - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            value = value * 10 + digit;
        }
        return value;
    }

    /** A number that is not below zero; NaN where it is absent or no such number. */
    public double number(String name) {
        String text = text(name);
        if (text == null || text.isEmpty() || text.length() > 32) {
            return Double.NaN;
        }
        for (int at = 0; at < text.length(); at++) {
            char c = text.charAt(at);
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
        // Names told in the settings may hold more than ASCII; comparing bytes needs them as bytes only then.
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
