package gullspar.rehearse.judge;

/** The rules that a rehearsal judges, in their own words. */
public enum Rule {
    ONE_ANSWER("each request taken gets exactly one final answer before its time is up, and after it nothing "
            + "goes out for it"),
    NOTHING_TWICE("nothing takes effect twice, and a refusal says that a retry is harmless"),
    DRAINS_KEPT(
            "nothing new goes to a node later than the grace after the proxy was told that it drains or " + "is gone"),
    LISTS_HEARD("nothing new goes to a node later than the grace after discovery has had it for 6 s, and "
            + "could be reached, that it drains or is gone, whatever became of the proxy's calls"),
    COLD_SPARED("no cold node is pushed over by all proxies together"),
    TIME_TOLD("no attempt is given over 0.15 s more than its client has left to wait"),
    LEFT_ALONE("no attempt, first or further, begins for a request whose client left 0.1 s ago"),
    FLEET_TRUE(
            "no proxy that lives and can be reached is called gone for long, and each dead one leaves " + "every view"),
    FLEET_AGREES("a while after the last fault all proxies see the same, and it is so"),
    FLEET_FORWARD("nothing that was said of a life is taken back: no incarnation falls, nobody who left " + "returns"),
    FLEET_HONEST("a proxy that sees fewer than half of those that it saw lately says so, and no other does"),
    FLEET_TWINS("two processes that live under one name are both seen, and named to all: neither wins"),
    FLEET_CHEAP("to keep a view of the fleet costs each proxy no more than its budget"),
    EXPECTED("the script expects it");

    private final String description;

    Rule(String words) {
        this.description = words;
    }

    public String description() {
        return description;
    }
}
