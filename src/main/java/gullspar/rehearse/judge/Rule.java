package gullspar.rehearse.judge;

/** The rules that a rehearsal judges, in their own words. */
public enum Rule {
    ONE_ANSWER("each request taken gets exactly one final answer before its time is up, and after it nothing "
            + "goes out for it"),
    NOTHING_TWICE("nothing takes effect twice, and a refusal says that a retry is harmless"),
    DRAINS_KEPT("nothing new goes to a node later than the grace after the proxy was told that it drains or "
            + "is gone"),
    COLD_SPARED("no cold node is pushed over by all proxies together"),
    EXPECTED("the script expects it");

    private final String words;

    Rule(String words) {
        this.words = words;
    }

    public String words() {
        return words;
    }
}
