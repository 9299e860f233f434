package vetchrill.hcl;

import com.bertramlabs.plugins.hcl4j.HCLParserException;
import com.bertramlabs.plugins.hcl4j.PlacedSymbols;
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
 * One block of an HCL file, read key by key. Each reader says what is allowed; what is not is noted with its place
 * and a stand-in value is returned, so that {@link #check} can tell of all mistakes of the file at once.
 */
public final class Block {
    private static final int LONGEST = 1 << 20;

    private record Value(Symbol symbol, int line) {
    }

    private record Mistake(int line, String text) {
    }

    /** What all blocks of one file share. */
    private static final class Sheet {
        final String file;
        final List<Mistake> mistakes = new ArrayList<>();
        final List<Block> blocks = new ArrayList<>();

        Sheet(String file) {
            this.file = file;
        }
    }

    private final Sheet sheet;
    private final String type;
    private final String label;
    private final int line;
    private final Map<String, Value> values = new LinkedHashMap<>();
    private final List<Block> inside = new ArrayList<>();
    private final Set<String> asked = new TreeSet<>();
    private final Set<String> askedBlocks = new TreeSet<>();

    private Block(Sheet sheet, String type, String label, int line) {
        this.sheet = sheet;
        this.type = type;
        this.label = label;
        this.line = line;
        sheet.blocks.add(this);
    }

    /** Throws Mistakes where there is no such file or it holds no HCL. */
    public static Block read(Path file) {
        try {
            if (Files.isDirectory(file) || Files.size(file) > LONGEST) {
                throw new Mistakes(List.of(file + ": no HCL file of at most " + (LONGEST >> 10) + " KiB"));
            }
            return parse(file.toString(), Files.readString(file));
        } catch (MalformedInputException e) {
            throw new Mistakes(List.of(file + ": no text in UTF-8"));
        } catch (IOException e) {
            throw new Mistakes(List.of(file + ": can't be read"));
        }
    }

    public static Block parse(String file, String text) {
        Sheet sheet = new Sheet(file);
        Block root = new Block(sheet, "the file", "", 1);
        try {
            root.fill(PlacedSymbols.of(text));
        } catch (HCLParserException e) {
            throw new Mistakes(List.of(file + ": " + e.getMessage()));
        }
        return root;
    }

    private void fill(List<Symbol> symbols) {
        for (Symbol symbol : symbols) {
            int at = symbol.getLine() + 1;
            if (symbol instanceof HCLBlock block) {
                List<String> names = block.blockNames;
                Block child = new Block(sheet, names.get(0), names.size() > 1 ? names.get(1) : "", at);
                if (names.size() > 2) {
                    mistake(at, names.get(0), "has one label at most");
                }
                inside.add(child);
                child.fill(children(symbol));
            } else if (symbol instanceof HCLAttribute) {
                List<Symbol> children = children(symbol);
                Value value = new Value(children.isEmpty() ? null : children.get(0), at);
                if (values.put(symbol.getName(), value) != null) {
                    mistake(at, symbol.getName(), "is given twice");
                }
            } else {
                mistake(at, String.valueOf(symbol.getName()), "is neither a block nor a key with a value");
            }
        }
    }

    private static List<Symbol> children(Symbol symbol) {
        return symbol.getChildren() == null ? List.of() : symbol.getChildren();
    }

    public String label() {
        return label;
    }

    public boolean has(String key) {
        asked.add(key);
        return values.containsKey(key);
    }

    /** Notes what is wrong with a key of this block, or with the block where the key is not in it. */
    public void mistake(String key, String what) {
        mistake(values.containsKey(key) ? values.get(key).line : line, key, what);
    }

    private void mistake(int line, String key, String what) {
        sheet.mistakes.add(new Mistake(line, sheet.file + ":" + line + ": " + key + ": " + what));
    }

    private Symbol value(String key) {
        asked.add(key);
        Value value = values.get(key);
        return value == null ? null : value.symbol;
    }

    /** The lexer leaves numbers and truths as texts beside the word for what they are. */
    private static Object told(Symbol symbol) {
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

    private Object plain(String key, String wanted, Class<?> as, boolean needed) {
        Symbol symbol = value(key);
        if (as.isInstance(told(symbol))) {
            return told(symbol);
        }
        if (symbol != null || values.containsKey(key)) {
            mistake(key, "should be " + wanted);
        } else if (needed) {
            mistake(key, "is missing in " + this + ", should be " + wanted);
        }
        return null;
    }

    /** A number from {@code least} to {@code most}. */
    public double number(String key, double least, double most) {
        return number(key, least, most, least, true);
    }

    public double number(String key, double least, double most, double otherwise) {
        return number(key, least, most, otherwise, false);
    }

    private double number(String key, double least, double most, double otherwise, boolean needed) {
        String wanted = "a number from " + plain(least) + " to " + plain(most);
        Object got = plain(key, wanted, Number.class, needed);
        if (got == null) {
            return otherwise;
        }
        double value = ((Number) got).doubleValue();
        if (!(value >= least && value <= most)) {
            mistake(key, "is " + plain(value) + ", should be " + wanted);
            return otherwise;
        }
        return value;
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value)
                : Double.toString(value);
    }

    public int whole(String key, int least, int most) {
        return whole(key, least, most, number(key, least, most));
    }

    public int whole(String key, int least, int most, int otherwise) {
        return whole(key, least, most, number(key, least, most, otherwise));
    }

    private int whole(String key, int least, int most, double value) {
        if (value != Math.rint(value)) {
            mistake(key, "is " + plain(value) + ", should be a whole number from " + least + " to " + most);
            return least;
        }
        return (int) value;
    }

    public boolean flag(String key, boolean otherwise) {
        Object got = plain(key, "true or false", Boolean.class, false);
        return got == null ? otherwise : (Boolean) got;
    }

    public String word(String key) {
        Object got = plain(key, "a text in quotes", String.class, true);
        return got == null ? "" : (String) got;
    }

    public String word(String key, String otherwise) {
        Object got = plain(key, "a text in quotes", String.class, false);
        return got == null ? otherwise : (String) got;
    }

    /** The path of a folder, there or not. */
    public Path folder(String key) {
        try {
            return Path.of(word(key));
        } catch (InvalidPathException e) {
            mistake(key, "should be the path of a folder");
            return Path.of("");
        }
    }

    /** One of the words allowed; the first of them where the key is absent. */
    public String oneOf(String key, String... allowed) {
        String got = word(key, allowed[0]);
        if (!List.of(allowed).contains(got)) {
            mistake(key, "is '" + got + "', should be one of " + String.join(", ", allowed));
            return allowed[0];
        }
        return got;
    }

    public List<String> words(String key) {
        List<String> words = new ArrayList<>();
        Symbol symbol = value(key);
        if (symbol == null) {
            return words;
        }
        if (symbol instanceof HCLArray) {
            for (Symbol each : children(symbol)) {
                if (told(each) instanceof String text) {
                    words.add(text);
                } else {
                    mistake(key, "should be a list of texts in quotes");
                    return List.of();
                }
            }
        } else {
            mistake(key, "should be a list of texts in quotes");
        }
        return words;
    }

    /** Whole numbers by name, as in {@code { std = 4, big = 1 }}. */
    public Map<String, Integer> counts(String key, int most) {
        Map<String, Integer> counts = new LinkedHashMap<>();
        Symbol symbol = value(key);
        String wanted = "should be whole numbers from 0 to " + most + " by name, as in { std = 4 }";
        if (symbol == null) {
            mistake(key, "is missing in " + this + ", " + wanted);
            return counts;
        }
        for (Symbol each : children(symbol)) {
            List<Symbol> of = children(each);
            Object got = !(each instanceof HCLAttribute) || of.isEmpty() ? null : told(of.get(0));
            double count = got instanceof Number number ? number.doubleValue() : -1;
            if (count < 0 || count > most || count != Math.rint(count)) {
                mistake(key, wanted);
                return counts;
            }
            counts.put(each.getName(), (int) count);
        }
        if (!(symbol instanceof HCLBlock) || counts.isEmpty()) {
            mistake(key, wanted);
        }
        return counts;
    }

    public List<Block> blocks(String type) {
        askedBlocks.add(type);
        List<Block> found = new ArrayList<>();
        Set<String> labels = new LinkedHashSet<>();
        for (Block block : inside) {
            if (block.type.equals(type)) {
                found.add(block);
                if (!labels.add(block.label)) {
                    block.mistake(type, "'" + block.label + "' is given twice");
                }
            }
        }
        return found;
    }

    /** The only block of its type; an empty one where it is absent, whose keys then have their stand-ins. */
    public Block block(String type) {
        List<Block> found = blocks(type);
        if (found.size() > 1) {
            found.get(1).mistake(type, "is given twice");
        }
        return found.isEmpty() ? new Block(sheet, type, "", line) : found.get(0);
    }

    public boolean hasBlock(String type) {
        return !blocks(type).isEmpty();
    }

    /** The file that this block is from. */
    public String file() {
        return sheet.file;
    }

    /** Throws Mistakes with all that was noted, unknown keys included, if there is any. */
    public void check() {
        for (Block block : List.copyOf(sheet.blocks)) {
            block.unknown();
        }
        if (!sheet.mistakes.isEmpty()) {
            throw new Mistakes(sheet.mistakes.stream().sorted(Comparator.comparingInt(Mistake::line))
                    .map(Mistake::text).toList());
        }
    }

    private void unknown() {
        if (asked.isEmpty() && askedBlocks.isEmpty()) {
            // Nobody has looked into it: the block around it tells that it is not known there.
            return;
        }
        for (Map.Entry<String, Value> each : values.entrySet()) {
            if (!asked.contains(each.getKey())) {
                mistake(each.getValue().line, each.getKey(), "is not known in " + this + ", allowed are "
                        + String.join(", ", asked));
            }
        }
        for (Block block : inside) {
            if (!askedBlocks.contains(block.type)) {
                mistake(block.line, block.type, "is no block of " + this + ", allowed are "
                        + (askedBlocks.isEmpty() ? "none" : String.join(", ", askedBlocks)));
            }
        }
    }

    @Override
    public String toString() {
        return label.isEmpty() ? type : type + " \"" + label + "\"";
    }
}
