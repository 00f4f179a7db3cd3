package gullspar.rehearse.stage;

import gullspar.rehearse.script.Script;
import java.util.function.BiFunction;

/** Requests that somebody sends by hand, with curl: nodes serve them as an order of their class. */
public final class ManualRequests implements BiFunction<String, String, Try> {
    private final Script script;
    private final RunEnvironment stage;
    private int served;

    public ManualRequests(Script script, RunEnvironment stage) {
        this.script = script;
        this.stage = stage;
    }

    @Override
    public Try apply(String id, String path) {
        for (Script.RequestClass c : script.classes()) {
            if (path.equals("/" + c.name())
                    || path.startsWith("/" + c.name() + "/")
                    || path.startsWith("/" + c.name() + "?")) {
                long now = stage.now();
                Order o = new Order(
                        --served,
                        c,
                        0,
                        c.workMs().midpoint() * 1e6,
                        script.sites().get(0),
                        now);
                Try t = new Try(o, id, now + (long) (c.giveUpMs() * 1e6));
                o.tries.add(t);
                return t;
            }
        }
        return null;
    }

    /** How many have been served. */
    public int served() {
        return -served;
    }
}
