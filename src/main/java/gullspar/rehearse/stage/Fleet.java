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

/** All nodes, what starts and ends them, and discovery, which hears of that and tells the proxies late. */
public final class Fleet implements Node.Fleet {
    private static final long SAMPLE_NS = 250_000_000L;

    private final RunEnvironment stage;
    private final Script script;
    private final EventLog eventLog;
    private final Platform platform;
    private final SplittableRandom random;
    /** The machines with the process that runs on each, by the machine's name; null where none runs. */
    private final Map<String, Node> byMachine = new LinkedHashMap<>();

    private final Map<String, Script.NodeKind> kinds = new LinkedHashMap<>();
    private final Map<String, Double> speeds = new HashMap<>();
    private final Map<String, String> sites = new HashMap<>();
    private final Map<String, Agent.Entry> listed = new LinkedHashMap<>();
    private final Map<String, Agent> agents = new LinkedHashMap<>();
    private final Map<String, Long> agentHears = new HashMap<>();
    private final Map<String, Double> lateBy = new HashMap<>();
    private final Map<String, Repeats> repeats = new HashMap<>();
    private final Map<String, Double> busyBefore = new HashMap<>();
    private final Map<String, Integer> servedBefore = new HashMap<>();
    private final Map<String, Integer> instances = new HashMap<>();

    public Fleet(RunEnvironment stage, Script script, EventLog eventLog) {
        this.stage = stage;
        this.script = script;
        this.eventLog = eventLog;
        this.platform = stage.at("fleet");
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

    /** The machines of the nodes, by name. */
    public List<String> machines() {
        return List.copyOf(kinds.keySet());
    }

    /** Those whose node runs. */
    public List<String> running() {
        return byMachine.entrySet().stream()
                .filter(e -> e.getValue() != null)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** How many instances a machine has seen, replaced ones included. */
    public int lives(String machine) {
        return 1 + instances.getOrDefault(machine, 0);
    }

    public String site(String machine) {
        return sites.get(machine);
    }

    /** Starts all nodes, warm, and a view of discovery for each proxy. */
    public void start(List<String> proxies) {
        for (String machine : kinds.keySet()) {
            Node node = run(machine, machine, 0);
            listed.put(node.id, entry(node, "in_service"));
        }
        ServiceQueue turns = new ServiceQueue(script.discovery().answerMs());
        for (String proxy : proxies) {
            Agent a = new Agent(proxy, stage, eventLog, turns);
            a.knows(List.copyOf(listed.values()));
            a.open();
            agents.put(proxy, a);
        }
        weigh();
        sample();
    }

    /** Where discovery is for a proxy. */
    public InetSocketAddress discovery(String proxy) {
        return agents.get(proxy).address();
    }

    /** The list as it has come through to a proxy's machine, in discovery's form. */
    public JsonNode known(String proxy) {
        return agents.get(proxy).json();
    }

    /** A proxy starts with the list as it is known there: it has been told what that says. */
    public void startsKnowing(String proxy) {
        agents.get(proxy).toldAll();
    }

    private Node run(String machine, String id, long bootNs) {
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
        byMachine.put(machine, node);
        node.start();
        return node;
    }

    private void after(double seconds, Runnable what) {
        platform.loop().schedule(what, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    // ---- what happens to nodes ----

    /** A process ends at once; 0: it stays away. */
    public void crash(String machine, double downS) {
        Node node = byMachine.get(machine);
        if (node == null) {
            return;
        }
        eventLog.happened(stage.now(), node.id + " crashes");
        node.end();
        gone(node, script.discovery().noticeS().draw(random));
        if (downS > 0) {
            after(downS, () -> startAgain(machine, node.id));
        }
    }

    @Override
    public void fell(Node node) {
        gone(node, script.discovery().noticeS().draw(random));
    }

    private void gone(Node node, double noticedAfterS) {
        byMachine.put(node.machine, null);
        after(noticedAfterS, () -> {
            Agent.Entry e = listed.get(node.id);
            boolean back = byMachine.get(node.machine) != null
                    && byMachine.get(node.machine).id.equals(node.id);
            if (e != null && !back) {
                list(new Agent.Entry(
                        e.id(), e.hostPort(), e.site(), e.kind(), e.cell(), "terminated", e.weight(), e.startedAtMs()));
            }
        });
    }

    private void startAgain(String machine, String id) {
        if (byMachine.get(machine) != null) {
            return;
        }
        Node node = run(machine, id, stage.now());
        eventLog.happened(stage.now(), id + " starts, cold");
        list(entry(node, "in_service"));
    }

    /** Drains, ends; then: the same node again, another at its address, or nothing. */
    private void leave(String machine, double graceS, double downS, String nextId) {
        Node node = byMachine.get(machine);
        if (node == null) {
            return;
        }
        eventLog.happened(stage.now(), node.id + " drains");
        list(entry(node, "terminating"));
        after(graceS, () -> {
            if (byMachine.get(machine) != node) {
                return;
            }
            node.end();
            eventLog.happened(stage.now(), node.id + " ends");
            gone(node, 0);
            if (nextId != null) {
                after(downS, () -> startAgain(machine, nextId));
            }
        });
    }

    public void drain(String machine, double graceS) {
        leave(machine, graceS, 0, null);
    }

    public void restart(String machine, double graceS, double downS) {
        Node node = byMachine.get(machine);
        leave(machine, graceS, downS, node == null ? null : node.id);
    }

    public void replace(String machine, double graceS, double downS) {
        leave(machine, graceS, downS, machine + "-" + (instances.merge(machine, 1, Integer::sum) + 1));
    }

    public void neighbour(String machine, double takes) {
        with(machine, n -> n.neighbour(takes));
    }

    public void hang(String machine, boolean on) {
        with(machine, n -> n.hang(on));
    }

    public void spoil(String machine, double share) {
        with(machine, n -> n.spoil(share));
    }

    public void trickle(String machine, double bytesPerSecond) {
        with(machine, n -> n.trickle(bytesPerSecond));
    }

    private void with(String machine, Consumer<Node> what) {
        Node n = byMachine.get(machine);
        if (n != null) {
            what.accept(n);
        }
    }

    // ---- what happens to discovery ----

    public void move(String proxy) {
        agents.get(proxy).move();
    }

    public void down(boolean on) {
        agents.values().forEach(a -> a.down(on));
    }

    public void silent(String proxy, boolean on) {
        agents.get(proxy).silent(on);
    }

    public void late(String proxy, double byS) {
        lateBy.put(proxy, byS);
    }

    public void freeze(boolean on) {
        agents.values().forEach(a -> a.freeze(on));
    }

    // ---- the list ----

    private static Agent.Entry entry(Node n, String lifecycle) {
        String at = n.address.getAddress().getHostAddress() + ":" + n.address.getPort();
        return new Agent.Entry(n.id, at, n.site, n.kind.kind(), n.cell, lifecycle, n.weight(), n.bootNs / 1_000_000);
    }

    private void list(Agent.Entry e) {
        listed.put(e.id(), e);
        tell(List.of(e));
        if (e.lifecycle().equals("terminated")) {
            listed.remove(e.id());
        }
    }

    /** News go to each proxy late, each by its own draw, and in order. */
    private void tell(List<Agent.Entry> changed) {
        long now = stage.now();
        agents.forEach((proxy, agent) -> {
            double late = script.discovery().delayMs().draw(random) / 1e3 + lateBy.getOrDefault(proxy, 0.0);
            long at = Math.max(now + (long) (late * 1e9), agentHears.getOrDefault(proxy, 0L));
            agentHears.put(proxy, at);
            platform.loop().schedule(() -> agent.arrived(changed), at - now, TimeUnit.NANOSECONDS);
        });
    }

    private void weigh() {
        after(script.discovery().weightPeriodMs().draw(random) / 1e3, () -> {
            List<Agent.Entry> changed = new ArrayList<>();
            byMachine.forEach((machine, n) -> {
                Agent.Entry e = n == null ? null : listed.get(n.id);
                if (e != null && !e.leaving()) {
                    changed.add(entry(n, e.lifecycle()));
                }
            });
            changed.forEach(e -> listed.put(e.id(), e));
            tell(changed);
            weigh();
        });
    }

    @Override
    public Repeats repeats(Script.RequestClass c, Node node) {
        String scope = c.scope() == Scope.ALL ? "" : c.scope() == Scope.ZONE ? node.site : node.site + node.cell;
        return repeats.computeIfAbsent(c.name() + ">" + scope, k -> new Repeats((long) (c.windowMs() * 1e6)));
    }

    // ---- what the report shows ----

    private void sample() {
        after(SAMPLE_NS / 1e9, () -> {
            int all = 0;
            Map<String, Integer> share = new LinkedHashMap<>();
            for (Node n : byMachine.values()) {
                if (n != null) {
                    int s = n.served() - servedBefore.getOrDefault(n.id + n.bootNs, 0);
                    servedBefore.put(n.id + n.bootNs, n.served());
                    share.put(n.machine, s);
                    all += s;
                }
            }
            for (Map.Entry<String, Node> e : byMachine.entrySet()) {
                Node n = e.getValue();
                double util = Double.NaN;
                if (n != null) {
                    double busy = n.busyNs();
                    util = (busy - busyBefore.getOrDefault(n.id + n.bootNs, 0.0)) / SAMPLE_NS / n.cores();
                    busyBefore.put(n.id + n.bootNs, busy);
                }
                eventLog.sample(new EventLog.Sample(
                        stage.now(),
                        e.getKey(),
                        n == null ? 0 : n.held(),
                        util,
                        all == 0 ? 0 : share.getOrDefault(e.getKey(), 0) / (double) all,
                        n != null
                                && listed.containsKey(n.id)
                                && !listed.get(n.id).leaving()));
            }
            sample();
        });
    }

    @Override
    public RunEnvironment stage() {
        return stage;
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
