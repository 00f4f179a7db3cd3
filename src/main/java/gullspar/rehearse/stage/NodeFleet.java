package gullspar.rehearse.stage;

import com.fasterxml.jackson.databind.JsonNode;
import gullspar.decide.Balancer.Scope;
import gullspar.proxy.io.Platform;
import gullspar.rehearse.script.Script;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** All simulated nodes, their starts and ends, and discovery, which notifies the proxies with a delay. */
public final class NodeFleet implements Node.Context {
    private static final long SAMPLE_NS = 250_000_000L;

    private final RunEnvironment environment;
    private final Script script;
    private final EventLog eventLog;
    private final Platform platform;
    private final SplittableRandom random;
    /** The process that runs on each machine, by the machine's name; null where none runs. */
    private final Map<String, Node> nodeByMachine = new LinkedHashMap<>();

    private final Map<String, Script.NodeKind> kinds = new LinkedHashMap<>();
    private final Map<String, Double> speeds = new HashMap<>();
    private final Map<String, String> sites = new HashMap<>();
    private final Map<String, DiscoveryAgent.Instance> listedInstances = new LinkedHashMap<>();
    private final Map<String, DiscoveryAgent> agents = new LinkedHashMap<>();
    private final Map<String, Long> deliveredAtNs = new HashMap<>();
    private final Map<String, Double> extraDelayS = new HashMap<>();
    private final Map<String, RepeatFilter> repeatFilters = new HashMap<>();
    private final Map<String, Double> lastBusyNs = new HashMap<>();
    private final Map<String, Integer> lastServed = new HashMap<>();
    private final Map<String, Integer> replacements = new HashMap<>();

    public NodeFleet(RunEnvironment environment, Script script, EventLog eventLog) {
        this.environment = environment;
        this.script = script;
        this.eventLog = eventLog;
        this.platform = environment.platform("fleet");
        this.random = new SplittableRandom(script.seed() * 31 + 1);
        int n = 0;
        for (Script.NodeKind k : script.nodes()) {
            for (int i = 0; i < k.count(); i++) {
                String machine = "n" + ++n;
                kinds.put(machine, k);
                speeds.put(machine, k.speed().draw(random));
                sites.put(machine, script.sites().get((n - 1) % script.sites().size()));
            }
        }
    }

    /** The names of all machines of nodes. */
    public List<String> machines() {
        return List.copyOf(kinds.keySet());
    }

    /** The names of the machines on which a node runs. */
    public List<String> running() {
        return nodeByMachine.entrySet().stream()
                .filter(e -> e.getValue() != null)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** The number of instances that a machine has had, including replaced ones. */
    public int instanceCount(String machine) {
        return 1 + replacements.getOrDefault(machine, 0);
    }

    public String site(String machine) {
        return sites.get(machine);
    }

    /** Starts all nodes, warm, and a discovery agent for each proxy. */
    public void start(List<String> proxies) {
        for (String machine : kinds.keySet()) {
            Node node = startNode(machine, machine, 0);
            listedInstances.put(node.id, instance(node, "in_service"));
        }
        ServiceQueue serviceQueue = new ServiceQueue(script.discovery().answerMs());
        for (String proxy : proxies) {
            DiscoveryAgent agent = new DiscoveryAgent(proxy, environment, eventLog, serviceQueue);
            agent.initialize(List.copyOf(listedInstances.values()));
            agent.open();
            agents.put(proxy, agent);
        }
        scheduleWeightUpdate();
        scheduleSample();
    }

    /** The address of discovery for a proxy. */
    public InetSocketAddress discoveryAddress(String proxy) {
        return agents.get(proxy).address();
    }

    /** The list as it has reached a proxy's machine, in discovery's format. */
    public JsonNode listJson(String proxy) {
        return agents.get(proxy).listJson();
    }

    /** Records that a starting proxy knows the list that has reached its machine. */
    public void recordStartingList(String proxy) {
        agents.get(proxy).recordAllAsNotified();
    }

    private Node startNode(String machine, String id, long bootNs) {
        Node node = new Node(
                this,
                id,
                machine,
                sites.get(machine),
                0,
                kinds.get(machine),
                speeds.get(machine),
                bootNs,
                random.split());
        nodeByMachine.put(machine, node);
        node.start();
        return node;
    }

    private void after(double seconds, Runnable task) {
        platform.loop().schedule(task, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    // ---- faults of nodes ----

    /** Ends a process at once and restarts it after that time; 0 for never. */
    public void crash(String machine, double downS) {
        Node node = nodeByMachine.get(machine);
        if (node == null) {
            return;
        }
        eventLog.addEvent(environment.now(), node.id + " crashes");
        node.end();
        handleEnd(node, script.discovery().noticeS().draw(random));
        if (downS > 0) {
            after(downS, () -> startInstance(machine, node.id));
        }
    }

    @Override
    public void collapsed(Node node) {
        handleEnd(node, script.discovery().noticeS().draw(random));
    }

    private void handleEnd(Node node, double noticedAfterS) {
        nodeByMachine.put(node.machine, null);
        after(noticedAfterS, () -> {
            DiscoveryAgent.Instance instance = listedInstances.get(node.id);
            boolean back = nodeByMachine.get(node.machine) != null
                    && nodeByMachine.get(node.machine).id.equals(node.id);
            if (instance != null && !back) {
                updateInstance(new DiscoveryAgent.Instance(
                        instance.id(),
                        instance.hostPort(),
                        instance.zone(),
                        instance.machineType(),
                        instance.cell(),
                        "terminated",
                        instance.weight(),
                        instance.startedAtMs()));
            }
        });
    }

    private void startInstance(String machine, String id) {
        if (nodeByMachine.get(machine) != null) {
            return;
        }
        Node node = startNode(machine, id, environment.now());
        eventLog.addEvent(environment.now(), id + " starts, cold");
        updateInstance(instance(node, "in_service"));
    }

    /** Drains and ends a node; then starts the instance with the next id at its address, unless that is null. */
    private void drainAndEnd(String machine, double graceS, double downS, String nextId) {
        Node node = nodeByMachine.get(machine);
        if (node == null) {
            return;
        }
        eventLog.addEvent(environment.now(), node.id + " drains");
        updateInstance(instance(node, "terminating"));
        after(graceS, () -> {
            if (nodeByMachine.get(machine) != node) {
                return;
            }
            node.end();
            eventLog.addEvent(environment.now(), node.id + " ends");
            handleEnd(node, 0);
            if (nextId != null) {
                after(downS, () -> startInstance(machine, nextId));
            }
        });
    }

    /** Drains a node and ends it after graceS seconds. */
    public void drain(String machine, double graceS) {
        drainAndEnd(machine, graceS, 0, null);
    }

    /** Drains and ends a node, and after downS seconds starts it again, cold, under the same id. */
    public void restart(String machine, double graceS, double downS) {
        Node node = nodeByMachine.get(machine);
        drainAndEnd(machine, graceS, downS, node == null ? null : node.id);
    }

    /** Drains and ends a node, and after downS seconds starts one with a new id, cold, at its address. */
    public void replace(String machine, double graceS, double downS) {
        drainAndEnd(machine, graceS, downS, machine + "-" + (replacements.merge(machine, 1, Integer::sum) + 1));
    }

    /** Takes a share of a node's processor time, 0 to 1; 0 ends it. */
    public void stealCpu(String machine, double share) {
        ifRunning(machine, n -> n.stealCpu(share));
    }

    /** Makes a node accept requests without processing any, or process them again. */
    public void setHung(String machine, boolean on) {
        ifRunning(machine, n -> n.setHung(on));
    }

    /** Sets the share of a node's responses that are faulty, 0 to 1. */
    public void setSpoiltShare(String machine, double share) {
        ifRunning(machine, n -> n.setSpoiltShare(share));
    }

    /** Limits a node's responses to that many bytes per second; 0 for no limit. */
    public void setTrickleRate(String machine, double bytesPerSecond) {
        ifRunning(machine, n -> n.setTrickleRate(bytesPerSecond));
    }

    private void ifRunning(String machine, Consumer<Node> action) {
        Node node = nodeByMachine.get(machine);
        if (node != null) {
            action.accept(node);
        }
    }

    // ---- faults of discovery ----

    /** Moves the discovery agent of a proxy to another address. */
    public void moveDiscovery(String proxy) {
        agents.get(proxy).move();
    }

    /** Ends all watches and refuses new ones, or accepts them again. */
    public void setDiscoveryDown(boolean on) {
        agents.values().forEach(a -> a.setDown(on));
    }

    /** Makes the watches of a proxy stay open and deliver nothing, or deliver again. */
    public void setDiscoverySilenced(String proxy, boolean on) {
        agents.get(proxy).setSilenced(on);
    }

    /** Sets an additional delay, in seconds, of changes of the list on their way to a proxy; 0 removes it. */
    public void setDiscoveryDelay(String proxy, double delayS) {
        extraDelayS.put(proxy, delayS);
    }

    /** Makes watches that are opened from now on get the present list, or the real one again. */
    public void setDiscoveryFrozen(boolean on) {
        agents.values().forEach(a -> a.setFrozen(on));
    }

    // ---- the list ----

    private static DiscoveryAgent.Instance instance(Node node, String lifecycle) {
        String at = node.address.getAddress().getHostAddress() + ":" + node.address.getPort();
        return new DiscoveryAgent.Instance(
                node.id, at, node.site, node.kind.kind(), node.cell, lifecycle, node.weight(), node.bootNs / 1_000_000);
    }

    private void updateInstance(DiscoveryAgent.Instance instance) {
        listedInstances.put(instance.id(), instance);
        publish(List.of(instance));
        if (instance.lifecycle().equals("terminated")) {
            listedInstances.remove(instance.id());
        }
    }

    /** Delivers changes to each proxy's agent in order, with a random delay for each. */
    private void publish(List<DiscoveryAgent.Instance> changed) {
        long now = environment.now();
        agents.forEach((proxy, agent) -> {
            double delayS = script.discovery().delayMs().draw(random) / 1e3 + extraDelayS.getOrDefault(proxy, 0.0);
            long deliverAtNs = Math.max(now + (long) (delayS * 1e9), deliveredAtNs.getOrDefault(proxy, 0L));
            deliveredAtNs.put(proxy, deliverAtNs);
            platform.loop().schedule(() -> agent.receive(changed), deliverAtNs - now, TimeUnit.NANOSECONDS);
        });
    }

    private void scheduleWeightUpdate() {
        after(script.discovery().weightPeriodMs().draw(random) / 1e3, () -> {
            List<DiscoveryAgent.Instance> changed = new ArrayList<>();
            nodeByMachine.forEach((machine, node) -> {
                DiscoveryAgent.Instance instance = node == null ? null : listedInstances.get(node.id);
                if (instance != null && !instance.isLeaving()) {
                    changed.add(instance(node, instance.lifecycle()));
                }
            });
            changed.forEach(instance -> listedInstances.put(instance.id(), instance));
            publish(changed);
            scheduleWeightUpdate();
        });
    }

    @Override
    public RepeatFilter repeatFilter(Script.RequestClass requestClass, Node node) {
        String scope = requestClass.scope() == Scope.ALL
                ? ""
                : requestClass.scope() == Scope.ZONE ? node.site : node.site + node.cell;
        return repeatFilters.computeIfAbsent(
                requestClass.name() + ">" + scope, k -> new RepeatFilter((long) (requestClass.windowMs() * 1e6)));
    }

    // ---- samples for the report ----

    private void scheduleSample() {
        after(SAMPLE_NS / 1e9, () -> {
            int all = 0;
            Map<String, Integer> share = new LinkedHashMap<>();
            for (Node node : nodeByMachine.values()) {
                if (node != null) {
                    int servedSinceSample = node.served() - lastServed.getOrDefault(node.id + node.bootNs, 0);
                    lastServed.put(node.id + node.bootNs, node.served());
                    share.put(node.machine, servedSinceSample);
                    all += servedSinceSample;
                }
            }
            for (Map.Entry<String, Node> e : nodeByMachine.entrySet()) {
                Node node = e.getValue();
                double util = Double.NaN;
                if (node != null) {
                    double busy = node.busyNs();
                    util = (busy - lastBusyNs.getOrDefault(node.id + node.bootNs, 0.0)) / SAMPLE_NS / node.cores();
                    lastBusyNs.put(node.id + node.bootNs, busy);
                }
                eventLog.addSample(new EventLog.Sample(
                        environment.now(),
                        e.getKey(),
                        node == null ? 0 : node.inFlight(),
                        util,
                        all == 0 ? 0 : share.getOrDefault(e.getKey(), 0) / (double) all,
                        node != null
                                && listedInstances.containsKey(node.id)
                                && !listedInstances.get(node.id).isLeaving()));
            }
            scheduleSample();
        });
    }

    @Override
    public RunEnvironment environment() {
        return environment;
    }

    @Override
    public EventLog eventLog() {
        return eventLog;
    }

    @Override
    public Script script() {
        return script;
    }
}
