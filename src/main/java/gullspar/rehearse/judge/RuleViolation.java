package gullspar.rehearse.judge;

import gullspar.rehearse.stage.Try;

/** A rule that was broken: when (ns on the day's clock), by what, for which request if it was one. */
public record RuleViolation(Rule rule, long atNs, String description, Try request) {}
