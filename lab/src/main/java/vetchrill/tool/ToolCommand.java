package vetchrill.tool;

/** A subcommand of a module beside this one, found as a service. */
public interface ToolCommand {
}
