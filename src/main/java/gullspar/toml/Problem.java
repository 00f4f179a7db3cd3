package gullspar.toml;

/** What is wrong with a script, and where: line and column count from 1. */
public record Problem(int line, int column, String message) {}
