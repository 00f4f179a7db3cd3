package gullspar.rehearse.judge;

import gullspar.rehearse.stage.ClientRequest;

/** A rule that was broken: when (ns on the day's clock), by what, for which request if it was one. */
public record Broken(Rule rule, long at, String what, ClientRequest request) {}
