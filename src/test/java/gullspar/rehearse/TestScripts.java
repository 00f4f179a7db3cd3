package gullspar.rehearse;

import gullspar.rehearse.script.Script;
import gullspar.rehearse.script.ScriptReader;
import gullspar.toml.ProblemsException;

/** Scripts of small days for tests. */
public final class TestScripts {
    private static final String SMALL_SCRIPT =
            """
        seconds = %s
        seed = 1
        sites = ["north", "south"]
        [proxies]
        count = 2
        start_s = 0.5
        [[nodes]]
        kind = "fast"
        count = 4
        speed = [1.7, 2.3]
        slots = 8
        connections = 500
        report = { period_ms = [500, 1500], delay_ms = 50, noise = 0.05 }
        [[nodes]]
        kind = "slow"
        count = 4
        speed = [0.7, 0.9]
        cancelled = "goes-on"
        connections = 500
        report = { period_ms = [500, 1500], delay_ms = 50, noise = 0.05 }
        [[class]]
        name = "look"
        effect = "idempotent"
        share = 0.6
        work_ms = [23, 41]
        promise_ms = 250
        give_up_ms = 600
        worth = 5
        [[class]]
        name = "order"
        effect = "deduplicated"
        window_ms = 1200
        share = 0.2
        work_ms = [33, 60]
        promise_ms = 400
        give_up_ms = 1200
        worth = 10
        [[class]]
        name = "pay"
        effect = "at-most-once"
        share = 0.2
        work_ms = [33, 60]
        promise_ms = 400
        give_up_ms = 1200
        worth = 10
        [clients]
        rate = %s
        retries = 1
        keys = 500
        [discovery]
        delay_ms = [100, 400]
        notice_s = 0.5
        %s
        """;

    private TestScripts() {}

    /** A small day with further tables, such as faults and rules. */
    public static Script small(double seconds, String tables) {
        return small(seconds, 150, tables);
    }

    /** A small day with another rate, in requests per second. */
    public static Script small(double seconds, int rate, String tables) {
        return parse(SMALL_SCRIPT.formatted(seconds, rate, tables));
    }

    /** The text of a small day's script. */
    public static String smallText(double seconds, String tables) {
        return SMALL_SCRIPT.formatted(seconds, 150, tables);
    }

    public static Script parse(String text) {
        try {
            return ScriptReader.parse(text, "day.toml");
        } catch (ProblemsException e) {
            throw new AssertionError(e.getMessage(), e);
        }
    }

    /** The text of a fault's table. */
    public static String fault(String kind, double at, String settings) {
        return "[[fault]]\nkind = \"" + kind + "\"\nat = " + at + "\n" + settings + "\n";
    }
}
