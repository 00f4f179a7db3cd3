package gullspar.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gullspar.scale.DiscoveryStandIn.Told;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Proxies of one shape, real and hollow, before stand-ins for discovery and the backends. */
final class Trial implements AutoCloseable {
    private static final int REAL_MB = 140, RUNTIME_MB = 90, START_S = 120;

    final Shape shape;
    final DiscoveryStandIn discovery;
    final BackendStandIn backends = new BackendStandIn();
    final List<Child> hollow = new ArrayList<>();
    final List<RealProxy> real = new ArrayList<>();
    private final Children children;
    private final List<Integer> first = new ArrayList<>();
    private final Path config;

    Trial(Children children, Shape shape, int port) throws ScaleException, IOException {
        this.children = children;
        this.shape = shape;
        try {
            this.discovery = new DiscoveryStandIn(new BackendList(shape.backends(), backends::address), port);
        } catch (ScaleException e) {
            backends.close();
            throw e;
        }
        this.config = Files.writeString(Files.createTempFile(children.folder(), "hollow", ".json"), json().toString());
    }

    private ObjectNode json() throws IOException {
        return NodeConfig.of(shape.proxies() + shape.real(), shape.tenants(), null);
    }

    /** Starts the processes, those of the hollow proxies still empty. */
    Trial processes() throws ScaleException, IOException {
        for (int p = 0; p < shape.processes(); p++) {
            first.add((int) ((long) shape.proxies() * p / shape.processes()));
            hollow.add(process(p));
        }
        for (Child c : hollow) {
            c.answer(START_S);
        }
        return this;
    }

    private Child process(int number) throws ScaleException, IOException {
        return children.start(
                "hollow process " + number,
                Math.min(shape.heapMb(), 256) + RUNTIME_MB,
                Child.java(shape.heapMb(), "gullspar.scale.Hollow", "proxies", config.toString()),
                Map.of());
    }

    /** Starts the proxies and waits until all know the list. */
    Trial proxies() throws ScaleException, IOException {
        List<String> ports = Ports.free(2 * shape.real());
        for (int i = 0; i < shape.real(); i++) {
            int number = shape.proxies() + i;
            ObjectNode json = json();
            NodeConfig.number(json, number);
            json.put("listen", ports.get(2 * i))
                    .put("operator", ports.get(2 * i + 1))
                    .put("discovery", place(number));
            real.add(RealProxy.start(children, number, json, REAL_MB));
        }
        for (int p = 0; p < hollow.size(); p++) {
            fill(p);
        }
        for (Child c : hollow) {
            c.answer(START_S);
        }
        for (RealProxy r : real) {
            r.child().await(" ready", START_S);
        }
        known(new Told(discovery.version(), System.nanoTime()), START_S);
        return this;
    }

    private void fill(int p) throws ScaleException {
        int next = p + 1 < first.size() ? first.get(p + 1) : shape.proxies();
        StringBuilder start = new StringBuilder("start " + first.get(p) + " " + (next - first.get(p)));
        for (int z = 0; z < BackendList.ZONES; z++) {
            start.append(' ').append(place(z));
        }
        hollow.get(p).say(start.toString());
    }

    private String place(int number) {
        return "127.0.0.1:" + discovery.address(number).getPort();
    }

    /** Kills a process of hollow proxies, as a crash would. */
    void kill(int p) {
        children.end(List.of(hollow.get(p)));
    }

    /** The processes of hollow proxies that are there now. */
    private List<Child> living() {
        return hollow.stream().filter(Child::alive).toList();
    }

    /** Starts it again. */
    void revive(int p) throws ScaleException, IOException {
        hollow.set(p, process(p));
        hollow.get(p).answer(START_S);
        fill(p);
        hollow.get(p).answer(START_S);
    }

    /** How long after it was told each hollow proxy knew, in microseconds, once all do. */
    Histogram known(Told told, int withinS) throws ScaleException {
        long end = System.nanoTime() + withinS * 1_000_000_000L;
        Histogram h = new Histogram(3);
        for (Child c : living()) {
            String answer = c.ask("heard " + told.version());
            while ((" " + answer + " ").contains(" -1 ")) {
                if (System.nanoTime() > end) {
                    throw new ScaleException(
                            ScaleException.COUNT,
                            "not all of " + c.name() + " know version " + told.version() + " after " + withinS + " s: "
                                    + answer);
                }
                children.look();
                Pause.ms(20);
                answer = c.ask("heard " + told.version());
            }
            Arrays.stream(answer.split(" "))
                    .filter(a -> !a.isEmpty())
                    .forEach(a -> h.recordValue(Math.max(0, (Long.parseLong(a) - told.atNs()) / 1000)));
        }
        return h;
    }

    /** Processor time so far of the hollow ones' processes. */
    Map<Long, Accounts.Booked> hollowCpu() throws IOException, ScaleException {
        return booked(living());
    }

    /** The same of the real ones. */
    Map<Long, Accounts.Booked> realCpu() throws IOException, ScaleException {
        return booked(real.stream().map(RealProxy::child).toList());
    }

    private Map<Long, Accounts.Booked> booked(List<Child> of) throws IOException, ScaleException {
        children.look();
        Map<Long, Accounts.Booked> all = new HashMap<>();
        for (Child c : of) {
            all.put(c.pid(), Accounts.booked(c.pid()));
        }
        return all;
    }

    /** Resident memory of the hollow ones' processes, in bytes. */
    long hollowResident() throws IOException {
        long sum = 0;
        for (Child c : living()) {
            sum += Accounts.residentBytes(c.pid());
        }
        return sum;
    }

    /** Heap after a collection, of all hollow ones' processes, in bytes. */
    long hollowHeap() throws ScaleException {
        long sum = 0;
        for (Child c : living()) {
            sum += Long.parseLong(c.ask("heap"));
        }
        return sum;
    }

    /** Connections to discovery that the hollow ones have begun. */
    long connects() throws ScaleException {
        long sum = 0;
        for (Child c : living()) {
            sum += Long.parseLong(c.ask("connects"));
        }
        return sum;
    }

    /** Nothing may have gone wrong within the hollow ones. */
    void sound() throws ScaleException {
        for (Child c : hollow) {
            String failures = c.ask("failures");
            if (!failures.startsWith("0 ")) {
                throw new ScaleException(ScaleException.COUNT, c.name() + ": " + failures);
            }
        }
    }

    @Override
    public void close() {
        children.end(hollow);
        children.end(real.stream().map(RealProxy::child).toList());
        discovery.close();
        backends.close();
    }
}
