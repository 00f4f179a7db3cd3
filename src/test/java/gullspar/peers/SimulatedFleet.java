package gullspar.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/**
 * Simulates the members of a fleet in one thread and in virtual time, over a network with injected faults.
 */
final class SimulatedFleet {
    /** One millisecond in ns. */
    static final long MS = 1_000_000L;
    /** One second in ns. */
    static final long S = 1_000_000_000L;

    private record Event(long at, long sequence, Runnable action) {}

    /** One life of a process. */
    final class Node implements Outbox {
        final String name;
        final String address;
        final long life;
        final Peers peers;
        final List<Change> changes = new ArrayList<>();
        /** The last datagram received from each life. */
        final Map<Long, Message> lastReceived = new LinkedHashMap<>();

        boolean dead;
        boolean paused;
        private final List<Runnable> queuedInputs = new ArrayList<>();

        Node(String name, String address, long life, List<String> seeds) {
            this.name = name;
            this.address = address;
            this.life = life;
            this.peers = new Peers(
                    settings,
                    new Statement(
                            new Identity(name, life),
                            1,
                            address,
                            "z",
                            "1",
                            "",
                            Phase.SERVING,
                            0,
                            0,
                            0,
                            TrafficStats.NONE,
                            Facts.NONE),
                    seeds,
                    random.split(),
                    this,
                    now);
        }

        @Override
        public void send(String to, Message m) {
            sent++;
            sendListener.accept(this, m);
            deliver(this, to, m);
        }

        @Override
        public void onChange(Change c) {
            if (recordsHistory) {
                changes.add(c);
            }
            changeListener.accept(this, c);
        }

        void input(Runnable input) {
            if (dead) {
                return;
            }
            if (paused) {
                queuedInputs.add(input);
                return;
            }
            input.run();
            scheduleTick();
        }

        private long nextTickAt = Long.MAX_VALUE;

        private void scheduleTick() {
            long next = peers.wakeAt();
            if (next < nextTickAt && next != Long.MAX_VALUE) {
                nextTickAt = Math.max(now, next);
                long scheduledAt = nextTickAt;
                schedule(nextTickAt, () -> {
                    if (nextTickAt == scheduledAt) {
                        nextTickAt = Long.MAX_VALUE;
                        input(() -> peers.tick(now));
                    }
                });
            }
        }

        /** Pauses the process, or resumes it with the inputs queued meanwhile. */
        void pause(boolean pause) {
            paused = pause;
            if (!pause) {
                List<Runnable> all = List.copyOf(queuedInputs);
                queuedInputs.clear();
                all.forEach(this::input);
                input(() -> peers.tick(now));
            }
        }

        void kill() {
            dead = true;
            addresses.remove(address, this);
        }

        View view() {
            return peers.view(now);
        }

        Set<String> names(View.Status... status) {
            return view().members().stream()
                    .filter(m -> List.of(status).contains(m.status()))
                    .map(m -> m.id().name())
                    .collect(Collectors.toSet());
        }

        View.Status statusOf(Node other) {
            return view().members().stream()
                    .filter(m -> m.id().life() == other.life)
                    .map(View.Member::status)
                    .findFirst()
                    .orElse(null);
        }
    }

    final Settings settings;
    final SplittableRandom random;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    final Map<String, Node> addresses = new LinkedHashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private long nextSequence;
    long now = 1_000 * S;
    long sent;
    /** Fraction of datagrams lost. */
    double lossRate;

    long delayNs = MS;
    long jitterNs = MS;
    /** Fraction of datagrams delivered twice. */
    double duplicateRate;
    /** Pairs "from>to" of names whose datagrams are dropped. */
    final Set<String> blockedLinks = new HashSet<>();
    /** Receives the view changes of all nodes. */
    BiConsumer<Node, Change> changeListener = (node, c) -> {};
    /** Receives each datagram as it is sent, with its sender. */
    BiConsumer<Node, Message> sendListener = (node, m) -> {};
    /** Receives each datagram as it is delivered, with its receiver. */
    BiConsumer<Node, Message> deliveryListener = (node, m) -> {};
    /** Whether the last datagrams and the changes are kept; off in large fleets, to save memory. */
    boolean recordsHistory = true;

    SimulatedFleet(long seed, Settings settings) {
        this.random = new SplittableRandom(seed);
        this.settings = settings;
    }

    SimulatedFleet(long seed) {
        this(seed, Settings.withInterval(S));
    }

    void schedule(long time, Runnable action) {
        events.add(new Event(Math.max(time, now), nextSequence++, action));
    }

    /** Advances the virtual time. */
    SimulatedFleet run(double seconds) {
        long end = now + (long) (seconds * S);
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event e = events.remove();
            now = e.at();
            e.action().run();
        }
        now = end;
        return this;
    }

    /** Runs until the condition holds or the time is up; returns the seconds that it took, or -1. */
    double runUntil(double seconds, BooleanSupplier condition) {
        long startedAt = now;
        while (now - startedAt < seconds * S) {
            if (condition.getAsBoolean()) {
                return (now - startedAt) / (double) S;
            }
            run(0.05);
        }
        return condition.getAsBoolean() ? seconds : -1;
    }

    private void deliver(Node from, String to, Message m) {
        if (random.nextDouble() < lossRate) {
            return;
        }
        int copies = random.nextDouble() < duplicateRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            schedule(now + delayNs + (jitterNs > 0 ? random.nextLong(jitterNs) : 0), () -> {
                Node node = addresses.get(to);
                if (node != null && !blockedLinks.contains(from.name + '>' + node.name)) {
                    if (recordsHistory) {
                        node.lastReceived.put(from.life, m);
                    }
                    deliveryListener.accept(node, m);
                    node.input(() -> node.peers.receive(now, m));
                }
            });
        }
    }

    /** Delivers a forged datagram. */
    void inject(Node to, Message m) {
        to.input(() -> to.peers.receive(now, m));
    }

    Node start(String name, String address, String... seeds) {
        return start(name, address, random.nextLong(), seeds);
    }

    Node start(String name, String address, long life, String... seeds) {
        Node node = new Node(name, address, life, List.of(seeds));
        nodes.put(name, node);
        addresses.put(address, node);
        node.scheduleTick();
        return node;
    }

    /** Starts p1 to pN, with the first three as seeds. */
    SimulatedFleet start(int count) {
        for (int i = 1; i <= count; i++) {
            start("p" + i, "a" + i + ":1", "a1:1", "a2:1", "a3:1");
        }
        return this;
    }

    Node get(int i) {
        return nodes.get("p" + i);
    }

    List<Node> living() {
        return nodes.values().stream().filter(node -> !node.dead).toList();
    }

    /** Blocks or unblocks all links between two sets of nodes. */
    void partition(List<Node> a, List<Node> b, boolean blocked) {
        for (Node x : a) {
            for (Node y : b) {
                if (blocked) {
                    blockedLinks.add(x.name + '>' + y.name);
                    blockedLinks.add(y.name + '>' + x.name);
                } else {
                    blockedLinks.remove(x.name + '>' + y.name);
                    blockedLinks.remove(y.name + '>' + x.name);
                }
            }
        }
    }

    /** Whether each living node sees exactly the living nodes as alive. */
    boolean hasConverged() {
        List<Node> living = living();
        Set<String> names = living.stream().map(node -> node.name).collect(Collectors.toSet());
        return living.stream().allMatch(node -> {
            Set<String> aliveInView = node.names(View.Status.ALIVE);
            aliveInView.add(node.name);
            return aliveInView.equals(names)
                    && node.names(View.Status.SUSPECTED).isEmpty();
        });
    }

    /** Number of changes of that kind reported about living nodes. */
    long falseReports(Change.Kind kind) {
        Set<Long> alive = living().stream().map(node -> node.life).collect(Collectors.toSet());
        return nodes.values().stream()
                .flatMap(node -> node.changes.stream())
                .filter(c -> c.kind() == kind && alive.contains(c.subject().life()))
                .count();
    }
}
