package gullspar.rehearse.stage;

import gullspar.rehearse.script.Script;
import java.util.function.BiFunction;

/** Requests sent by hand, for example with curl: nodes serve them as an order of the class in the path. */
public final class ManualRequests implements BiFunction<String, String, ClientRequest> {
    private final Script script;
    private final RunEnvironment environment;
    private int lastNumber;

    public ManualRequests(Script script, RunEnvironment environment) {
        this.script = script;
        this.environment = environment;
    }

    @Override
    public ClientRequest apply(String id, String path) {
        for (Script.RequestClass c : script.classes()) {
            if (path.equals("/" + c.name())
                    || path.startsWith("/" + c.name() + "/")
                    || path.startsWith("/" + c.name() + "?")) {
                long now = environment.now();
                Order o = new Order(
                        --lastNumber,
                        c,
                        0,
                        c.workMs().midpoint() * 1e6,
                        script.sites().get(0),
                        now);
                ClientRequest t = new ClientRequest(o, id, now + (long) (c.giveUpMs() * 1e6));
                o.requests.add(t);
                return t;
            }
        }
        return null;
    }

    /** The number of requests served. */
    public int served() {
        return -lastNumber;
    }
}
