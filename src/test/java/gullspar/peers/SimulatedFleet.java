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
import java.util.stream.Collectors;

/**
 * Many processes' parts in one fleet, in one thread and in a time of their own, over a network that may
 * fail.
 */
final class SimulatedFleet {
    static final long MS = 1_000_000L, S = 1_000_000_000L;

    private record Event(long at, long number, Runnable what) {}

    /** One life of a process. */
    final class Life implements Outbox {
        final String name;
        final String address;
        final long life;
        final Peers peers;
        final List<Change> changes = new ArrayList<>();
        /** The last datagram from each life. */
        final Map<Long, Message> last = new LinkedHashMap<>();

        boolean dead;
        boolean paused;
        private final List<Runnable> missed = new ArrayList<>();

        Life(String name, String address, long life, List<String> seeds) {
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
                            Figures.NONE,
                            Facts.NONE),
                    seeds,
                    random.split(),
                    this,
                    now);
        }

        @Override
        public void send(String to, Message m) {
            sent++;
            posted.accept(this, m);
            carry(this, to, m);
        }

        @Override
        public void changed(Change c) {
            if (remembers) {
                changes.add(c);
            }
            heard.accept(this, c);
        }

        void input(Runnable what) {
            if (dead) {
                return;
            }
            if (paused) {
                missed.add(what);
                return;
            }
            what.run();
            arm();
        }

        private long armed = Long.MAX_VALUE;

        private void arm() {
            long next = peers.wakeAt();
            if (next < armed && next != Long.MAX_VALUE) {
                armed = Math.max(now, next);
                long mine = armed;
                at(armed, () -> {
                    if (armed == mine) {
                        armed = Long.MAX_VALUE;
                        input(() -> peers.tick(now));
                    }
                });
            }
        }

        /** Stands still, or goes on with all that came meanwhile. */
        void pause(boolean on) {
            paused = on;
            if (!on) {
                List<Runnable> all = List.copyOf(missed);
                missed.clear();
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

        View.Status of(Life other) {
            return view().members().stream()
                    .filter(m -> m.id().life() == other.life)
                    .map(View.Member::status)
                    .findFirst()
                    .orElse(null);
        }
    }

    final Settings settings;
    final SplittableRandom random;
    final Map<String, Life> lives = new LinkedHashMap<>();
    final Map<String, Life> addresses = new LinkedHashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private long numbers;
    long now = 1_000 * S;
    long sent;
    /** The network. */
    double loss;

    long delayNs = MS;
    long jitterNs = MS;
    double twice;
    /** Pairs "from>to" of names that hear nothing. */
    final Set<String> cut = new HashSet<>();
    /** What everybody's changes are told to. */
    BiConsumer<Life, Change> heard = (l, c) -> {};
    /** What each datagram is told to as it is sent, and as it comes to somebody. */
    BiConsumer<Life, Message> posted = (l, m) -> {}, taken = (l, m) -> {};
    /** Is what came last kept, and what changed? Large towns that are only counted forget it. */
    boolean remembers = true;

    SimulatedFleet(long seed, Settings settings) {
        this.random = new SplittableRandom(seed);
        this.settings = settings;
    }

    SimulatedFleet(long seed) {
        this(seed, Settings.every(S));
    }

    void at(long time, Runnable what) {
        events.add(new Event(Math.max(time, now), numbers++, what));
    }

    /** Lets so much time pass. */
    SimulatedFleet run(double seconds) {
        long end = now + (long) (seconds * S);
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event e = events.remove();
            now = e.at();
            e.what().run();
        }
        now = end;
        return this;
    }

    /** Runs until that holds, for so long at most; returns the seconds that it took, or -1. */
    double until(double seconds, java.util.function.BooleanSupplier holds) {
        long begin = now;
        while (now - begin < seconds * S) {
            if (holds.getAsBoolean()) {
                return (now - begin) / (double) S;
            }
            run(0.05);
        }
        return holds.getAsBoolean() ? seconds : -1;
    }

    private void carry(Life from, String to, Message m) {
        if (random.nextDouble() < loss) {
            return;
        }
        int copies = random.nextDouble() < twice ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            at(now + delayNs + (jitterNs > 0 ? random.nextLong(jitterNs) : 0), () -> {
                Life l = addresses.get(to);
                if (l != null && !cut.contains(from.name + '>' + l.name)) {
                    if (remembers) {
                        l.last.put(from.life, m);
                    }
                    taken.accept(l, m);
                    l.input(() -> l.peers.receive(now, m));
                }
            });
        }
    }

    /** Hands in a datagram from nowhere. */
    void inject(Life to, Message m) {
        to.input(() -> to.peers.receive(now, m));
    }

    Life start(String name, String address, String... seeds) {
        return start(name, address, random.nextLong(), seeds);
    }

    Life start(String name, String address, long life, String... seeds) {
        Life l = new Life(name, address, life, List.of(seeds));
        lives.put(name, l);
        addresses.put(address, l);
        l.arm();
        return l;
    }

    /** Starts p1 to pN, the first three being everybody's seeds. */
    SimulatedFleet start(int count) {
        for (int i = 1; i <= count; i++) {
            start("p" + i, "a" + i + ":1", "a1:1", "a2:1", "a3:1");
        }
        return this;
    }

    Life get(int i) {
        return lives.get("p" + i);
    }

    List<Life> living() {
        return lives.values().stream().filter(l -> !l.dead).toList();
    }

    /** Cuts two sets of members from each other, or lets them hear each other again. */
    void partition(List<Life> a, List<Life> b, boolean on) {
        for (Life x : a) {
            for (Life y : b) {
                if (on) {
                    cut.add(x.name + '>' + y.name);
                    cut.add(y.name + '>' + x.name);
                } else {
                    cut.remove(x.name + '>' + y.name);
                    cut.remove(y.name + '>' + x.name);
                }
            }
        }
    }

    /** Does each that lives see just those that live as alive? */
    boolean agreed() {
        List<Life> living = living();
        Set<String> names = living.stream().map(l -> l.name).collect(Collectors.toSet());
        return living.stream().allMatch(l -> {
            Set<String> sees = l.names(View.Status.ALIVE);
            sees.add(l.name);
            return sees.equals(names) && l.names(View.Status.SUSPECTED).isEmpty();
        });
    }

    /** How often somebody who lives was accused or called gone. */
    long wrong(Change.Kind kind) {
        Set<Long> alive = living().stream().map(l -> l.life).collect(Collectors.toSet());
        return lives.values().stream()
                .flatMap(l -> l.changes.stream())
                .filter(c -> c.kind() == kind && alive.contains(c.about().life()))
                .count();
    }
}
