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

/**
 * Everything on a day except the proxies under test: the simulated nodes, discovery, front balancer and clients, and
 * the schedule of faults. The same in virtual time and on a live day.
 */
public final class Testbed {
    private final RunEnvironment environment;
    private final Script script;
    private final EventLog eventLog = new EventLog();
    private final List<String> proxies;
    private final NodeFleet fleet;
    private final FrontBalancer front;
    private final LoadGenerator loadGenerator;
    private final FaultScheduler faultScheduler;

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
        this.faultScheduler = new FaultScheduler(
                environment, script, eventLog, fleet, front, loadGenerator, misbehavingClients, faultInjector, proxies);
    }

    /** Starts the nodes and discovery; must be called before the proxies are started. */
    public void startNodes() {
        List<String> proxyNames = new ArrayList<>(proxies);
        if (script.faults().stream().anyMatch(f -> f.kind() == FaultKind.TWIN)) {
            proxies.forEach(p -> proxyNames.add(p + EventLog.TWIN));
        }
        fleet.start(proxyNames);
    }

    /** Starts the load and the faults once all proxies are ready, then runs the callback. */
    public void startWhenReady(Runnable onStart) {
        front.onAllReady(() -> {
            eventLog.markStart(environment.now());
            loadGenerator.start(script.seconds());
            faultScheduler.start();
            onStart.run();
        });
    }

    /** The time after the end of the day within which all open requests have ended, in ns. */
    public long tailNs() {
        double longest = script.classes().stream()
                .mapToDouble(Script.RequestClass::giveUpMs)
                .max()
                .orElse(0);
        return (long) ((longest * 2 + 4000) * 1e6);
    }

    /** The index of a proxy, or of its twin, among all proxies, from 0. */
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
