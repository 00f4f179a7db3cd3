package gullspar.versions.net;

import gullspar.config.ControlFile;
import gullspar.proxy.io.Platform;
import gullspar.rehearse.net.Host;
import gullspar.rehearse.net.Network;
import gullspar.rehearse.time.EventQueue;
import gullspar.rehearse.time.VirtualLoop;
import gullspar.versions.Delta;
import gullspar.versions.Document;
import gullspar.versions.Follower;
import gullspar.versions.Message;
import gullspar.versions.Publisher;
import gullspar.versions.Version;
import gullspar.versions.file.Folder;
import gullspar.versions.file.Store;
import gullspar.versions.wire.Codec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Control nodes and followers in memory and in virtual time, running the production code. */
public final class SimulatedCluster {
    public static final long NS_PER_MS = 1_000_000L;
    public static final long NS_PER_S = 1_000_000_000L;
    private static final int PORT = 7400;

    /** An in-memory folder. */
    public static final class Disk implements Folder {
        public Map<String, byte[]> files = new HashMap<>();
        /** While set, every write fails. */
        public boolean full;

        @Override
        public byte[] read(String name) {
            return files.get(name);
        }

        @Override
        public void write(String name, byte[] content) throws IOException {
            if (full) {
                files.put(name, new byte[0]);
                throw new IOException("No space left on device");
            }
            files.put(name, content);
        }

        @Override
        public void rename(String from, String to) throws IOException {
            if (!files.containsKey(from)) {
                throw new IOException("no " + from);
            }
            files.put(to, files.remove(from));
        }

        @Override
        public void sync() {}
    }

    /** Runs tasks sequentially on the loop of the process, 2 ms later; none after the process has ended. */
    private final class Worker extends AbstractExecutorService {
        private final VirtualLoop loop;

        Worker(VirtualLoop loop) {
            this.loop = loop;
        }

        @Override
        public void execute(Runnable r) {
            loop.schedule(r, 2 * NS_PER_MS, TimeUnit.NANOSECONDS);
        }

        @Override
        public void shutdown() {}

        @Override
        public List<Runnable> shutdownNow() {
            return List.of();
        }

        @Override
        public boolean isShutdown() {
            return false;
        }

        @Override
        public boolean isTerminated() {
            return false;
        }

        @Override
        public boolean awaitTermination(long n, TimeUnit unit) {
            return true;
        }
    }

    /** A machine and the process running on it, if any. */
    public abstract class Node {
        public final String name;
        public final Host host;
        public Disk disk = new Disk();
        protected VirtualLoop loop;

        Node(String name) {
            this.name = name;
            this.host = network.host(name);
        }

        public boolean isRunning() {
            return loop != null;
        }

        /** Starts the process. */
        public void start() throws IOException {
            loop = new VirtualLoop(eventQueue, errors::add);
            host.setProcess(loop);
            startProcess(new Platform(
                    loop,
                    eventQueue::now,
                    network.transport(host),
                    line -> log.add(eventQueue.now() / NS_PER_MS + " " + name + ": " + line)));
        }

        abstract void startProcess(Platform p) throws IOException;

        /** Ends the process like kill -9. */
        public void kill() {
            loop.end();
            network.closeSockets(host);
            loop = null;
        }
    }

    /** A control process. */
    public final class Control extends Node {
        public final InetSocketAddress address;
        public ControlNode node;
        public long epoch = 1;
        public String primary = "c1";
        public int bytesPerSecond = 10_000;

        Control(String name, int i) {
            super(name);
            address = new InetSocketAddress("127.1.0." + (i + 1), PORT);
            network.assignAddress(address, host);
        }

        @Override
        void startProcess(Platform p) throws IOException {
            Map<String, InetSocketAddress> all = new LinkedHashMap<>();
            controls.forEach(c -> all.put(c.name, c.address));
            all.put(name, address); // a control process removed from the list still knows itself
            Store store = new Store(disk);
            node = new ControlNode(
                    new ControlFile(
                            name, primary, epoch, all, Path.of("."), bytesPerSecond, 200_000, 8, 3600 * NS_PER_S),
                    p,
                    store,
                    new Worker(loop),
                    random.split(),
                    check);
            Store.Found found = store.read();
            loop.execute(() -> node.start(found, failure -> {
                if (failure != null) {
                    errors.add(new IOException(name + " cannot listen: " + failure));
                }
            }));
        }
    }

    /** A proxy that serves no requests. */
    public final class Proxy extends Node {
        public FollowerNode node;
        /** The version in force since the last start, or null. */
        public Version inForce;

        public Version highestApplied;
        public long startedAtNs;
        private final List<InetSocketAddress> addresses;

        Proxy(String name) {
            super(name);
            addresses = VersionedSource.orderAddresses(
                    name, controls.stream().map(c -> c.address).toList());
        }

        @Override
        void startProcess(Platform p) throws IOException {
            Store store = new Store(disk);
            Store.Found found = store.read();
            Worker worker = new Worker(loop);
            inForce = null;
            startedAtNs = eventQueue.now();
            node = new FollowerNode(
                    name,
                    Message.Role.PROXY,
                    Follower.Settings.DEFAULTS,
                    addresses,
                    p,
                    random.split(),
                    (d, deltas, persisted, done) -> worker.execute(() -> apply(store, d, deltas, persisted, done)),
                    m -> {},
                    "");
            loop.execute(() ->
                    node.start(found.stored() == null ? null : found.stored().document(), found.mayBeOlder()));
        }

        private void apply(Store store, Document d, List<Delta> deltas, boolean persisted, Consumer<String> done) {
            try {
                if (!persisted) {
                    store.persist(new Codec.StoredDocument(d, null, List.of()));
                }
            } catch (IOException e) {
                done.accept(e.getMessage());
                return;
            }
            Version before = inForce;
            inForce = d.version();
            onApplied.accept(this, before);
            if (highestApplied == null || d.version().comparePosition(highestApplied) > 0) {
                highestApplied = d.version();
            }
            done.accept(null);
        }
    }

    /** An operator, with one connection for each change. */
    public final class Operator implements Link.Listener {
        public Message.Published response;
        private final Message.Publish change;

        Operator(Message.Publish change) {
            this.change = change;
        }

        @Override
        public void opened(Link l) {
            l.send(change);
        }

        @Override
        public void partReceived(Link l) {}

        @Override
        public void received(Link l, Message m) {
            response = (Message.Published) m;
            l.close(null);
        }

        @Override
        public void closed(Link l, String reason) {}
    }

    public final EventQueue eventQueue;
    public final Network network;
    public final List<Control> controls = new ArrayList<>();
    public final List<Proxy> proxies = new ArrayList<>();
    public final List<String> log = new ArrayList<>();
    public final List<Throwable> errors = new ArrayList<>();
    public BiConsumer<Proxy, Version> onApplied = (p, before) -> {};
    public Publisher.Check check = (file, text) -> List.of();
    private final SplittableRandom random;
    private final Host operators;

    /** Creates control processes, the first of which is the primary, and proxies, without starting them. */
    public SimulatedCluster(long seed, int controls, int proxies, long oneWayDelayNs) {
        eventQueue = new EventQueue(seed, 0);
        network = new Network(eventQueue, seed, (a, b) -> oneWayDelayNs);
        random = new SplittableRandom(seed);
        for (int i = 0; i < controls; i++) {
            this.controls.add(new Control("c" + (i + 1), i));
        }
        for (int i = 0; i < proxies; i++) {
            this.proxies.add(new Proxy("p" + i));
        }
        operators = network.host("operators");
        operators.setProcess(new VirtualLoop(eventQueue, errors::add));
    }

    /** Starts all processes. */
    public void start() throws IOException {
        for (Control c : controls) {
            c.start();
        }
        for (Proxy p : proxies) {
            p.start();
        }
    }

    /** Sets the fraction of segments lost on every path. */
    public void setLoss(double fraction) {
        List<String> names = new ArrayList<>();
        controls.forEach(c -> names.add(c.name));
        for (Control c : controls) {
            for (Proxy p : proxies) {
                network.link(c.name, p.name).setLoss(fraction);
                network.link(p.name, c.name).setLoss(fraction);
            }
            names.stream().filter(n -> !n.equals(c.name)).forEach(n -> network.link(c.name, n)
                    .setLoss(fraction));
        }
    }

    /** Sends a change to the primary. */
    public Operator publish(String text, long baseNumber) {
        Operator o = new Operator(new Message.Publish(baseNumber, "f", text));
        network.transport(operators)
                .clientBootstrap(controls.get(0).address)
                .handler(new Link(o, 1 << 25))
                .connect();
        return o;
    }

    /** Runs until the given virtual time. */
    public void run(long untilNs) {
        while (eventQueue.hasEventBy(untilNs)) {
            eventQueue.runNext();
        }
        eventQueue.advanceTo(untilNs);
        if (!errors.isEmpty()) {
            throw new AssertionError("unexpected exception at " + eventQueue.now() / NS_PER_MS + " ms", errors.get(0));
        }
    }

    /** Runs for the given virtual time. */
    public void runFor(long ns) {
        run(eventQueue.now() + ns);
    }

    /** Runs until all running proxies have the version number or a later one; false if not within the time. */
    public boolean runUntilInForce(long number, long withinNs) {
        long end = eventQueue.now() + withinNs;
        while (eventQueue.now() < end) {
            runFor(10 * NS_PER_MS);
            if (proxies.stream().allMatch(p -> !p.isRunning() || p.inForce != null && p.inForce.number() >= number)) {
                return true;
            }
        }
        return false;
    }
}
