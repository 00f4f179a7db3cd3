package gullspar.rehearse.play;

import gullspar.rehearse.script.FaultKind;
import gullspar.rehearse.script.Script;
import gullspar.rehearse.stage.EventLog;
import gullspar.rehearse.stage.FrontBalancer;
import gullspar.rehearse.stage.LoadGenerator;
import gullspar.rehearse.stage.MisbehavingClients;
import gullspar.rehearse.stage.NodeFleet;
import gullspar.rehearse.stage.RunEnvironment;
import java.util.ArrayList;
import java.util.List;

/** Everybody on a day but the proxies, and the faults; the same live and in virtual time. */
public final class Testbed {
    private final RunEnvironment environment;
    private final Script script;
    private final EventLog eventLog = new EventLog();
    private final List<String> proxies;
    private final NodeFleet fleet;
    private final FrontBalancer front;
    private final LoadGenerator loadGenerator;
    private final FaultScheduler timeline;

    public Testbed(RunEnvironment environment, Script script, FaultInjector faultInjector) {
        this.environment = environment;
        this.script = script;
        List<String> names = new ArrayList<>();
        for (int i = 1; i <= script.proxies().count(); i++) {
            names.add("p" + i);
        }
        this.proxies = List.copyOf(names);
        this.fleet = new NodeFleet(environment, script, eventLog);
        this.front = new FrontBalancer(environment, script, proxies);
        this.loadGenerator = new LoadGenerator(environment, script, eventLog, front);
        MisbehavingClients misbehavingClients = new MisbehavingClients(
                environment, eventLog, script.classes().get(0).name(), script.seed());
        this.timeline = new FaultScheduler(
                environment, script, eventLog, fleet, front, loadGenerator, misbehavingClients, faultInjector, proxies);
    }

    /** Starts the nodes and discovery; the proxies may be started then. */
    public void startNodes() {
        List<String> proxyNames = new ArrayList<>(proxies);
        if (script.faults().stream().anyMatch(f -> f.kind() == FaultKind.TWIN)) {
            proxies.forEach(p -> proxyNames.add(p + EventLog.TWIN));
        }
        fleet.start(proxyNames);
    }

    /** Begins the day once all proxies are ready, and calls that then. */
    public void startWhenReady(Runnable onStart) {
        front.onAllReady(() -> {
            eventLog.markStart(environment.now());
            loadGenerator.start(script.seconds());
            timeline.start();
            onStart.run();
        });
    }

    /** How long after the day's end everything that is still open has ended, in ns. */
    public long tailNs() {
        double longest = script.classes().stream()
                .mapToDouble(Script.RequestClass::giveUpMs)
                .max()
                .orElse(0);
        return (long) ((longest * 2 + 4000) * 1e6);
    }

    /** The place of a proxy, or of its twin, among all, from 0. */
    public static int proxyIndex(String proxy) {
        return Integer.parseInt(EventLog.baseName(proxy).substring(1)) - 1;
    }

    public EventLog eventLog() {
        return eventLog;
    }

    public List<String> proxies() {
        return proxies;
    }

    public NodeFleet fleet() {
        return fleet;
    }

    public FrontBalancer front() {
        return front;
    }
}
