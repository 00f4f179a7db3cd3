package gullspar.rehearse.judge;

import gullspar.rehearse.stage.ClientRequest;

/** A broken rule: the time (ns on the day's clock), what broke it, and the request, or null if it was none. */
public record RuleViolation(Rule rule, long atNs, String description, ClientRequest request) {}
