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
        for (Script.RequestClass requestClass : script.classes()) {
            if (path.equals("/" + requestClass.name())
                    || path.startsWith("/" + requestClass.name() + "/")
                    || path.startsWith("/" + requestClass.name() + "?")) {
                long now = environment.now();
                Order order = new Order(
                        --lastNumber,
                        requestClass,
                        0,
                        requestClass.workMs().midpoint() * 1e6,
                        script.sites().get(0),
                        now);
                ClientRequest request = new ClientRequest(order, id, now + (long) (requestClass.giveUpMs() * 1e6));
                order.requests.add(request);
                return request;
            }
        }
        return null;
    }

    /** The number of requests served. */
    public int served() {
        return -lastNumber;
    }
}
