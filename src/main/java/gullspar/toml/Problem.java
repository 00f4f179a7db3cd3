package gullspar.toml;

/** A problem in a TOML text and its position; line and column count from 1. */
public record Problem(int line, int column, String message) {}
