package com.bertramlabs.plugins.hcl4j;

import com.bertramlabs.plugins.hcl4j.symbols.Symbol;
import java.io.IOException;
import java.io.StringReader;
import java.util.List;

/**
 * The symbols of an HCL text with their lines. hcl4j's parser drops the lines and its lexer, which keeps them, is
 * visible in its own package only; hence this one class in there, and no other.
 */
public final class HclSymbols {
    private HclSymbols() {
    }

    /** Throws HCLParserException, with a line counted from 1 in its message, for what is no HCL. */
    public static List<Symbol> parse(String text) throws HCLParserException {
        HCLLexer lexer = new HCLLexer(new StringReader(text));
        try {
            lexer.yylex();
        } catch (IOException e) {
            throw new HCLParserException("can't be read: " + e.getMessage());
        } catch (RuntimeException | Error e) {
            // The lexer gives up on unbalanced braces and the like with whatever it stumbles on.
            throw new HCLParserException("is no HCL from some point on");
        }
        // What is begun and never ended is not in the symbols, and nothing would tell of it.
        if (lexer.yystate() != HCLLexer.YYINITIAL) {
            throw new HCLParserException("ends in the middle of something: a brace, a quote or a value is missing");
        }
        return lexer.elementStack;
    }
}
