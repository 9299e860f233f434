package vetchrill.tool;

/** A subcommand that another module provides; found by the ServiceLoader. */
public interface ToolCommand {
}
