package gullspar.rehearse.judge;

/** The rules that a rehearsal checks, with their descriptions in reports. */
public enum Rule {
    ONE_ANSWER("each accepted request gets exactly one final answer before its time is up, and after it nothing "
            + "is sent for it"),
    NOTHING_TWICE("nothing takes effect twice, and a refusal says that a retry is harmless"),
    DRAINS_KEPT("nothing new is sent to a node later than the grace after the proxy was told that it drains or "
            + "is gone"),
    LISTS_HEARD("nothing new is sent to a node later than the grace after discovery, being reachable, has listed "
            + "for 6 s that it drains or is gone, whether or not the proxy's calls succeed"),
    COLD_SPARED("no cold node is overloaded by all proxies together"),
    TIME_TOLD("no attempt is given over 0.15 s more than its client has left to wait"),
    LEFT_ALONE("no attempt, first or further, begins for a request whose client left 0.1 s ago"),
    FLEET_TRUE("no running, reachable proxy is called gone for long, and each dead one leaves " + "every view"),
    FLEET_AGREES("a while after the last fault the views of all proxies are equal and correct"),
    FLEET_FORWARD("no statement about a life is reverted: no incarnation decreases, no life that left " + "returns"),
    FLEET_HONEST("a proxy that sees fewer than half of those that it saw lately reports it, and no other does"),
    FLEET_TWINS("two processes under one name are both seen, and marked in every view: neither replaces the other"),
    FLEET_CHEAP("the view of the fleet costs each proxy no more than its budget"),
    EXPECTED("the script expects it");

    private final String description;

    Rule(String description) {
        this.description = description;
    }

    public String description() {
        return description;
    }
}
