package vetchrill.hcl;

import com.bertramlabs.plugins.hcl4j.HCLParserException;
import com.bertramlabs.plugins.hcl4j.HclSymbols;
import com.bertramlabs.plugins.hcl4j.symbols.HCLArray;
import com.bertramlabs.plugins.hcl4j.symbols.HCLAttribute;
import com.bertramlabs.plugins.hcl4j.symbols.HCLBlock;
import com.bertramlabs.plugins.hcl4j.symbols.HCLValue;
import com.bertramlabs.plugins.hcl4j.symbols.Symbol;
import java.io.IOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * One block of an HCL file, read key by key. The reading methods state which values are allowed. An invalid value is
 * recorded as an error with its line, and a default is returned in its place, so that {@link #check} reports all
 * errors of the file at once. Keys and blocks that were never asked for are errors too.
 */
public final class ConfigBlock {
    private static final int MAX_FILE_BYTES = 1 << 20;

    /** The value of a key; without a symbol if the lexer found none. */
    private record Value(Symbol symbol, int line) {
    }

    private record LocatedError(int line, String text) {
    }

    /** The state shared by all blocks of one file. */
    private static final class ParsedFile {
        final String file;
        final List<LocatedError> errors = new ArrayList<>();
        final List<ConfigBlock> blocks = new ArrayList<>();

        ParsedFile(String file) {
            this.file = file;
        }
    }

    private final ParsedFile parsedFile;
    private final String type;
    private final String label;
    private final int line;
    private final Map<String, Value> values = new LinkedHashMap<>();
    private final List<ConfigBlock> children = new ArrayList<>();
    /** Keys and block types asked for so far, which are those allowed in this block. */
    private final Set<String> knownKeys = new TreeSet<>();
    private final Set<String> knownBlockTypes = new TreeSet<>();

    private ConfigBlock(ParsedFile parsedFile, String type, String label, int line) {
        this.parsedFile = parsedFile;
        this.type = type;
        this.label = label;
        this.line = line;
        parsedFile.blocks.add(this);
    }

    /** Parses a file and returns its root block; throws ConfigErrors if it cannot be read or is not HCL. */
    public static ConfigBlock read(Path file) {
        try {
            if (Files.isDirectory(file) || Files.size(file) > MAX_FILE_BYTES) {
                throw new ConfigErrors(List.of(file + ": not a file of at most " + (MAX_FILE_BYTES >> 10) + " KiB"));
            }
            return parse(file.toString(), Files.readString(file));
        } catch (MalformedInputException e) {
            throw new ConfigErrors(List.of(file + ": not text in UTF-8"));
        } catch (IOException e) {
            throw new ConfigErrors(List.of(file + ": can't be read"));
        }
    }

    /** Parses a text and returns its root block; {@code file} is the name used in error messages. */
    public static ConfigBlock parse(String file, String text) {
        ParsedFile parsedFile = new ParsedFile(file);
        ConfigBlock root = new ConfigBlock(parsedFile, "the file", "", 1);
        try {
            root.addSymbols(HclSymbols.parse(text));
        } catch (HCLParserException e) {
            throw new ConfigErrors(List.of(file + ": " + e.getMessage()));
        }
        return root;
    }

    private void addSymbols(List<Symbol> symbols) {
        for (Symbol symbol : symbols) {
            int atLine = symbol.getLine() + 1;
            if (symbol instanceof HCLBlock block) {
                List<String> names = block.blockNames;
                ConfigBlock child = new ConfigBlock(parsedFile, names.get(0), names.size() > 1 ? names.get(1) : "",
                        atLine);
                if (names.size() > 2) {
                    addError(atLine, names.get(0), "has more than one label");
                }
                children.add(child);
                child.addSymbols(children(symbol));
            } else if (symbol instanceof HCLAttribute) {
                List<Symbol> children = children(symbol);
                Value value = new Value(children.isEmpty() ? null : children.get(0), atLine);
                if (values.put(symbol.getName(), value) != null) {
                    addError(atLine, symbol.getName(), "is given twice");
                }
            } else {
                addError(atLine, String.valueOf(symbol.getName()), "is neither a block nor a key with a value");
            }
        }
    }

    private static List<Symbol> children(Symbol symbol) {
        return symbol.getChildren() == null ? List.of() : symbol.getChildren();
    }

    public String label() {
        return label;
    }

    /** Whether the block contains the key. */
    public boolean has(String key) {
        knownKeys.add(key);
        return values.containsKey(key);
    }

    /** Records an error of a key, at the line of the key if it is in the block, else at that of the block. */
    public void addError(String key, String message) {
        addError(values.containsKey(key) ? values.get(key).line : line, key, message);
    }

    private void addError(int line, String key, String message) {
        parsedFile.errors.add(new LocatedError(line, parsedFile.file + ":" + line + ": " + key + ": " + message));
    }

    private Symbol value(String key) {
        knownKeys.add(key);
        Value value = values.get(key);
        return value == null ? null : value.symbol;
    }

    /** Converts a value by the type that the lexer names beside its text; null if it has none of the three types. */
    private static Object typedValue(Symbol symbol) {
        if (!(symbol instanceof HCLValue value) || value.value == null) {
            return null;
        }
        String text = value.value.toString();
        if ("number".equals(value.type)) {
            try {
                return Double.valueOf(text);
            } catch (NumberFormatException e) {
                return null;
            }
        }
        if ("boolean".equals(value.type)) {
            return Boolean.valueOf(text);
        }
        return "string".equals(value.type) ? text : null;
    }

    /** Returns the value of a key, or null if it is absent or of another type, and records that as an error. */
    private Object plain(String key, String expected, Class<?> valueType, boolean required) {
        Symbol symbol = value(key);
        if (valueType.isInstance(typedValue(symbol))) {
            return typedValue(symbol);
        }
        if (symbol != null || values.containsKey(key)) {
            addError(key, "should be " + expected);
        } else if (required) {
            addError(key, "is missing in " + this + ", should be " + expected);
        }
        return null;
    }

    /** Returns a number from {@code min} to {@code max}; a missing key is an error. */
    public double number(String key, double min, double max) {
        return number(key, min, max, min, true);
    }

    /** Returns a number from {@code min} to {@code max}, or the default if the key is absent. */
    public double number(String key, double min, double max, double defaultValue) {
        return number(key, min, max, defaultValue, false);
    }

    private double number(String key, double min, double max, double defaultValue, boolean required) {
        String expected = "a number from " + plain(min) + " to " + plain(max);
        Object got = plain(key, expected, Number.class, required);
        if (got == null) {
            return defaultValue;
        }
        double value = ((Number) got).doubleValue();
        if (!(value >= min && value <= max)) {
            addError(key, "is " + plain(value) + ", should be " + expected);
            return defaultValue;
        }
        return value;
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value)
                : Double.toString(value);
    }

    /** Returns a whole number from {@code min} to {@code max}; a missing key is an error. */
    public int integer(String key, int min, int max) {
        return integer(key, min, max, number(key, min, max));
    }

    /** Returns a whole number from {@code min} to {@code max}, or the default if the key is absent. */
    public int integer(String key, int min, int max, int defaultValue) {
        return integer(key, min, max, number(key, min, max, defaultValue));
    }

    private int integer(String key, int min, int max, double value) {
        if (value != Math.rint(value)) {
            addError(key, "is " + plain(value) + ", should be a whole number from " + min + " to " + max);
            return min;
        }
        return (int) value;
    }

    public boolean bool(String key, boolean defaultValue) {
        Object got = plain(key, "true or false", Boolean.class, false);
        return got == null ? defaultValue : (Boolean) got;
    }

    /** Returns a string; a missing key is an error. */
    public String text(String key) {
        Object got = plain(key, "a quoted string", String.class, true);
        return got == null ? "" : (String) got;
    }

    public String text(String key, String defaultValue) {
        Object got = plain(key, "a quoted string", String.class, false);
        return got == null ? defaultValue : (String) got;
    }

    /** Returns the path of a directory, which need not exist. */
    public Path path(String key) {
        try {
            return Path.of(text(key));
        } catch (InvalidPathException e) {
            addError(key, "should be the path of a directory");
            return Path.of("");
        }
    }

    /** Returns one of the allowed strings, or the first of them if the key is absent. */
    public String oneOf(String key, String... allowed) {
        String got = text(key, allowed[0]);
        if (!List.of(allowed).contains(got)) {
            addError(key, "is '" + got + "', should be one of " + String.join(", ", allowed));
            return allowed[0];
        }
        return got;
    }

    /** Returns a list of strings, empty if the key is absent. */
    public List<String> texts(String key) {
        List<String> texts = new ArrayList<>();
        Symbol symbol = value(key);
        if (symbol == null) {
            return texts;
        }
        if (symbol instanceof HCLArray) {
            for (Symbol each : children(symbol)) {
                if (typedValue(each) instanceof String text) {
                    texts.add(text);
                } else {
                    addError(key, "should be a list of quoted strings");
                    return List.of();
                }
            }
        } else {
            addError(key, "should be a list of quoted strings");
        }
        return texts;
    }

    /** Returns whole numbers by name, as in {@code { std = 4, big = 1 }}. */
    public Map<String, Integer> counts(String key, int max) {
        Map<String, Integer> counts = new LinkedHashMap<>();
        Symbol symbol = value(key);
        String expected = "should be whole numbers from 0 to " + max + " by name, as in { std = 4 }";
        if (symbol == null) {
            addError(key, "is missing in " + this + ", " + expected);
            return counts;
        }
        for (Symbol each : children(symbol)) {
            List<Symbol> values = children(each);
            Object got = !(each instanceof HCLAttribute) || values.isEmpty() ? null : typedValue(values.get(0));
            double count = got instanceof Number number ? number.doubleValue() : -1;
            if (count < 0 || count > max || count != Math.rint(count)) {
                addError(key, expected);
                return counts;
            }
            counts.put(each.getName(), (int) count);
        }
        if (!(symbol instanceof HCLBlock) || counts.isEmpty()) {
            addError(key, expected);
        }
        return counts;
    }

    /** Returns all child blocks of a type, in the order of the file; two with the same label are an error. */
    public List<ConfigBlock> blocks(String type) {
        knownBlockTypes.add(type);
        List<ConfigBlock> found = new ArrayList<>();
        Set<String> labels = new LinkedHashSet<>();
        for (ConfigBlock block : children) {
            if (block.type.equals(type)) {
                found.add(block);
                if (!labels.add(block.label)) {
                    block.addError(type, "'" + block.label + "' is given twice");
                }
            }
        }
        return found;
    }

    /** Returns the only child block of a type, or an empty one, whose keys all have their defaults, if it is absent. */
    public ConfigBlock block(String type) {
        List<ConfigBlock> found = blocks(type);
        if (found.size() > 1) {
            found.get(1).addError(type, "is given twice");
        }
        return found.isEmpty() ? new ConfigBlock(parsedFile, type, "", line) : found.get(0);
    }

    public boolean hasBlock(String type) {
        return !blocks(type).isEmpty();
    }

    /** Returns the name of the file that this block is from. */
    public String file() {
        return parsedFile.file;
    }

    /** Throws ConfigErrors with all errors of the file, unknown keys and blocks included, if there are any. */
    public void check() {
        for (ConfigBlock block : List.copyOf(parsedFile.blocks)) {
            block.reportUnknown();
        }
        if (!parsedFile.errors.isEmpty()) {
            throw new ConfigErrors(parsedFile.errors.stream().sorted(Comparator.comparingInt(LocatedError::line))
                    .map(LocatedError::text).toList());
        }
    }

    private void reportUnknown() {
        if (knownKeys.isEmpty() && knownBlockTypes.isEmpty()) {
            // The block was never read: its parent reports it as unknown.
            return;
        }
        for (Map.Entry<String, Value> each : values.entrySet()) {
            if (!knownKeys.contains(each.getKey())) {
                addError(each.getValue().line, each.getKey(), "is not known in " + this + ", allowed are "
                        + String.join(", ", knownKeys));
            }
        }
        for (ConfigBlock block : children) {
            if (!knownBlockTypes.contains(block.type)) {
                addError(block.line, block.type, "is not a block of " + this + ", allowed are "
                        + (knownBlockTypes.isEmpty() ? "none" : String.join(", ", knownBlockTypes)));
            }
        }
    }

    @Override
    public String toString() {
        return label.isEmpty() ? type : type + " \"" + label + "\"";
    }
}
