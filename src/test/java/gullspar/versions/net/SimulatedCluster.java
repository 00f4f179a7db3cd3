package gullspar.versions.net;

import gullspar.config.ControlFile;
import gullspar.proxy.io.Platform;
import gullspar.rehearse.net.Host;
import gullspar.rehearse.net.Network;
import gullspar.rehearse.time.Agenda;
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

/** Control processes and followers, by the program's own code, in memory and in virtual time. */
public final class SimulatedCluster {
    public static final long MS = 1_000_000L;
    public static final long S = 1_000_000_000L;
    private static final int PORT = 7400;

    /** Files in memory. */
    public static final class Disk implements Folder {
        public Map<String, byte[]> files = new HashMap<>();
        /** Every write fails while it is. */
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

    /** One after the other, on the process's loop, some ms later; nothing after its end. */
    private final class Worker extends AbstractExecutorService {
        private final VirtualLoop loop;

        Worker(VirtualLoop loop) {
            this.loop = loop;
        }

        @Override
        public void execute(Runnable r) {
            loop.schedule(r, 2 * MS, TimeUnit.NANOSECONDS);
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

    /** A machine and the process on it, if one runs. */
    public abstract class Place {
        public final String name;
        public final Host host;
        public Disk disk = new Disk();
        protected VirtualLoop loop;

        Place(String name) {
            this.name = name;
            this.host = network.host(name);
        }

        public boolean up() {
            return loop != null;
        }

        /** Starts its process. */
        public void start() throws IOException {
            loop = new VirtualLoop(agenda, slips::add);
            host.setProcess(loop);
            begin(new Platform(
                    loop,
                    agenda::now,
                    network.transport(host),
                    line -> log.add(agenda.now() / MS + " " + name + ": " + line)));
        }

        abstract void begin(Platform p) throws IOException;

        /** Ends it as kill -9 does. */
        public void kill() {
            loop.end();
            network.closeSockets(host);
            loop = null;
        }
    }

    /** A control process. */
    public final class Control extends Place {
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
        void begin(Platform p) throws IOException {
            Map<String, InetSocketAddress> all = new LinkedHashMap<>();
            controls.forEach(c -> all.put(c.name, c.address));
            all.put(name, address); // one that the others do not know any more knows itself
            Store store = new Store(disk);
            node = new ControlNode(
                    new ControlFile(name, primary, epoch, all, Path.of("."), bytesPerSecond, 200_000, 8, 3600 * S),
                    p,
                    store,
                    new Worker(loop),
                    random.split(),
                    check);
            Store.Found found = store.read();
            loop.execute(() -> node.start(found, why -> {
                if (why != null) {
                    slips.add(new IOException(name + " cannot listen: " + why));
                }
            }));
        }
    }

    /** A proxy without requests. */
    public final class Proxy extends Place {
        public FollowerNode node;
        /** What it has put in force, life by life. */
        public Version inForce;

        public Version everRan;
        public long since;
        private final List<InetSocketAddress> addresses;

        Proxy(String name) {
            super(name);
            addresses = Following.inOrder(
                    name, controls.stream().map(c -> c.address).toList());
        }

        @Override
        void begin(Platform p) throws IOException {
            Store store = new Store(disk);
            Store.Found found = store.read();
            Worker worker = new Worker(loop);
            inForce = null;
            since = agenda.now();
            node = new FollowerNode(
                    name,
                    Message.Role.PROXY,
                    Follower.Settings.USUAL,
                    addresses,
                    p,
                    random.split(),
                    (d, led, kept, done) -> worker.execute(() -> take(store, d, led, kept, done)),
                    m -> {},
                    "");
            loop.execute(
                    () -> node.start(found.kept() == null ? null : found.kept().document(), found.mayBeOlder()));
        }

        private void take(Store store, Document d, List<Delta> led, boolean kept, Consumer<String> done) {
            try {
                if (!kept) {
                    store.keep(new Codec.Kept(d, null, List.of()));
                }
            } catch (IOException e) {
                done.accept(e.getMessage());
                return;
            }
            Version before = inForce;
            inForce = d.version();
            ran.accept(this, before);
            if (everRan == null || d.version().order(everRan) > 0) {
                everRan = d.version();
            }
            done.accept(null);
        }
    }

    /** An operator: one connection for each change. */
    public final class Operator implements Link.Listener {
        public Message.Published answer;
        private final Message.Publish change;

        Operator(Message.Publish change) {
            this.change = change;
        }

        @Override
        public void opened(Link l) {
            l.send(change);
        }

        @Override
        public void part(Link l) {}

        @Override
        public void received(Link l, Message m) {
            answer = (Message.Published) m;
            l.end(null);
        }

        @Override
        public void closed(Link l, String why) {}
    }

    public final Agenda agenda;
    public final Network network;
    public final List<Control> controls = new ArrayList<>();
    public final List<Proxy> proxies = new ArrayList<>();
    public final List<String> log = new ArrayList<>();
    public final List<Throwable> slips = new ArrayList<>();
    public BiConsumer<Proxy, Version> ran = (p, before) -> {};
    public Publisher.Check check = (file, text) -> List.of();
    private final SplittableRandom random;
    private final Host operators;

    /** So many control processes, the first of which is the primary, and proxies; none is started. */
    public SimulatedCluster(long seed, int controls, int proxies, long wayNs) {
        agenda = new Agenda(seed, 0);
        network = new Network(agenda, seed, (a, b) -> wayNs);
        random = new SplittableRandom(seed);
        for (int i = 0; i < controls; i++) {
            this.controls.add(new Control("c" + (i + 1), i));
        }
        for (int i = 0; i < proxies; i++) {
            this.proxies.add(new Proxy("p" + i));
        }
        operators = network.host("operators");
        operators.setProcess(new VirtualLoop(agenda, slips::add));
    }

    /** Starts all. */
    public void start() throws IOException {
        for (Control c : controls) {
            c.start();
        }
        for (Proxy p : proxies) {
            p.start();
        }
    }

    /** Every way loses so many segments. */
    public void loss(double part) {
        List<String> names = new ArrayList<>();
        controls.forEach(c -> names.add(c.name));
        for (Control c : controls) {
            for (Proxy p : proxies) {
                network.link(c.name, p.name).setLoss(part);
                network.link(p.name, c.name).setLoss(part);
            }
            names.stream().filter(n -> !n.equals(c.name)).forEach(n -> network.link(c.name, n)
                    .setLoss(part));
        }
    }

    /** A change is on its way to the primary. */
    public Operator publish(String text, long after) {
        Operator o = new Operator(new Message.Publish(after, "f", text));
        network.transport(operators)
                .clientBootstrap(controls.get(0).address)
                .handler(new Link(o, 1 << 25))
                .connect();
        return o;
    }

    /** Lets time go on. */
    public void run(long untilNs) {
        while (agenda.hasEventBy(untilNs)) {
            agenda.runNext();
        }
        agenda.advanceTo(untilNs);
        if (!slips.isEmpty()) {
            throw new AssertionError("a slip at " + agenda.now() / MS + " ms", slips.get(0));
        }
    }

    /** The same, for so long. */
    public void go(long ns) {
        run(agenda.now() + ns);
    }

    /** Lets time go on until all that run have a version of that number, for so long at the most. */
    public boolean until(long number, long withinNs) {
        long end = agenda.now() + withinNs;
        while (agenda.now() < end) {
            go(10 * MS);
            if (proxies.stream().allMatch(p -> !p.up() || p.inForce != null && p.inForce.number() >= number)) {
                return true;
            }
        }
        return false;
    }
}
