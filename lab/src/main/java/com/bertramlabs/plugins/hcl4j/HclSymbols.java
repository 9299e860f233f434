package com.bertramlabs.plugins.hcl4j;

import com.bertramlabs.plugins.hcl4j.symbols.Symbol;
import java.io.IOException;
import java.io.StringReader;
import java.util.List;

/**
 * Parses HCL into symbols that keep their line numbers. The parser of hcl4j drops the line numbers; its lexer keeps
 * them but is visible only within this package, so this class has to be in it.
 */
public final class HclSymbols {
    private HclSymbols() {
    }

    /** Throws HCLParserException, with a line number counted from 1 in its message if known, if the text is not HCL. */
    public static List<Symbol> parse(String text) throws HCLParserException {
        HCLLexer lexer = new HCLLexer(new StringReader(text));
        try {
            lexer.yylex();
        } catch (IOException e) {
            throw new HCLParserException("can't be read: " + e.getMessage());
        } catch (RuntimeException | Error e) {
            // On unbalanced braces and the like the lexer fails with any exception or error.
            throw new HCLParserException("is not valid HCL");
        }
        // An element that is not terminated is missing in the symbols, and the lexer reports no error for it.
        if (lexer.yystate() != HCLLexer.YYINITIAL) {
            throw new HCLParserException("ends unexpectedly: a brace, a quote or a value is missing");
        }
        return lexer.elementStack;
    }
}
