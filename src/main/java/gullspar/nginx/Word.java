package gullspar.nginx;

/**
 * A word of a configuration file, the name or an argument of a directive: its text with quotes and escapes
 * resolved, and whether it was quoted.
 */
public record Word(String text, boolean quoted, SourceLocation position) {}
