package gullspar.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gullspar.scale.DiscoveryStandIn.PushedVersion;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** The proxies of one trial, real and hollow, with stand-ins for discovery and the backends. */
final class TestFleet implements AutoCloseable {
    private static final int REAL_PROXY_MB = 140, RUNTIME_MB = 90, START_TIMEOUT_S = 120;

    final Shape shape;
    final DiscoveryStandIn discovery;
    final BackendStandIn backends = new BackendStandIn();
    final List<ChildProcess> hollowProcesses = new ArrayList<>();
    final List<RealProxy> realProxies = new ArrayList<>();
    private final ChildProcesses children;
    private final List<Integer> firstNumbers = new ArrayList<>();
    private final Path config;

    TestFleet(ChildProcesses children, Shape shape, int port) throws ScaleException, IOException {
        this.children = children;
        this.shape = shape;
        try {
            this.discovery = new DiscoveryStandIn(new BackendList(shape.backends(), backends::address), port);
        } catch (ScaleException e) {
            backends.close();
            throw e;
        }
        this.config = Files.writeString(
                Files.createTempFile(children.folder(), "hollow", ".json"),
                baseConfig().toString());
    }

    private ObjectNode baseConfig() throws IOException {
        return NodeConfig.create(shape.proxies() + shape.real(), shape.tenants(), null);
    }

    /** Starts the hollow processes, still without proxies. */
    TestFleet startProcesses() throws ScaleException, IOException {
        for (int p = 0; p < shape.processes(); p++) {
            firstNumbers.add((int) ((long) shape.proxies() * p / shape.processes()));
            hollowProcesses.add(startHollowProcess(p));
        }
        for (ChildProcess c : hollowProcesses) {
            c.awaitAnswer(START_TIMEOUT_S);
        }
        return this;
    }

    private ChildProcess startHollowProcess(int number) throws ScaleException, IOException {
        return children.start(
                "hollow process " + number,
                Math.min(shape.heapMb(), 256) + RUNTIME_MB,
                ChildProcess.javaCommand(shape.heapMb(), "gullspar.scale.HollowProcess", "proxies", config.toString()),
                Map.of());
    }

    /** Starts all proxies and waits until the hollow ones have the list and the real ones are ready. */
    TestFleet startProxies() throws ScaleException, IOException {
        List<String> ports = Ports.free(2 * shape.real());
        for (int i = 0; i < shape.real(); i++) {
            int number = shape.proxies() + i;
            ObjectNode json = baseConfig();
            NodeConfig.setNumber(json, number);
            json.put("listen", ports.get(2 * i))
                    .put("operator", ports.get(2 * i + 1))
                    .put("discovery", discoveryAddress(number));
            realProxies.add(RealProxy.start(children, number, json, REAL_PROXY_MB));
        }
        for (int p = 0; p < hollowProcesses.size(); p++) {
            startHollowProxies(p);
        }
        for (ChildProcess c : hollowProcesses) {
            c.awaitAnswer(START_TIMEOUT_S);
        }
        for (RealProxy r : realProxies) {
            r.child().awaitLine(" ready", START_TIMEOUT_S);
        }
        awaitPropagation(new PushedVersion(discovery.version(), System.nanoTime()), START_TIMEOUT_S);
        return this;
    }

    private void startHollowProxies(int p) throws ScaleException {
        int next = p + 1 < firstNumbers.size() ? firstNumbers.get(p + 1) : shape.proxies();
        StringBuilder start = new StringBuilder("start " + firstNumbers.get(p) + " " + (next - firstNumbers.get(p)));
        for (int z = 0; z < BackendList.ZONES; z++) {
            start.append(' ').append(discoveryAddress(z));
        }
        hollowProcesses.get(p).send(start.toString());
    }

    private String discoveryAddress(int number) {
        return "127.0.0.1:" + discovery.address(number).getPort();
    }

    /** Kills a hollow process, as a crash would. */
    void killProcess(int p) {
        children.stop(List.of(hollowProcesses.get(p)));
    }

    /** Returns the hollow processes that are running. */
    private List<ChildProcess> aliveProcesses() {
        return hollowProcesses.stream().filter(ChildProcess::alive).toList();
    }

    /** Starts a killed hollow process and its proxies again. */
    void restartProcess(int p) throws ScaleException, IOException {
        hollowProcesses.set(p, startHollowProcess(p));
        hollowProcesses.get(p).awaitAnswer(START_TIMEOUT_S);
        startHollowProxies(p);
        hollowProcesses.get(p).awaitAnswer(START_TIMEOUT_S);
    }

    /** Waits until all hollow proxies have a version and returns their delays from its push, in microseconds. */
    Histogram awaitPropagation(PushedVersion pushed, int timeoutS) throws ScaleException {
        long end = System.nanoTime() + timeoutS * 1_000_000_000L;
        Histogram delays = new Histogram(3);
        for (ChildProcess c : aliveProcesses()) {
            String answer = c.ask("heard " + pushed.version());
            while ((" " + answer + " ").contains(" -1 ")) {
                if (System.nanoTime() > end) {
                    throw new ScaleException(
                            ScaleException.COUNT,
                            "not all proxies of " + c.name() + " received version " + pushed.version() + " after "
                                    + timeoutS + " s: " + answer);
                }
                children.checkHealth();
                Sleep.ms(20);
                answer = c.ask("heard " + pushed.version());
            }
            Arrays.stream(answer.split(" "))
                    .filter(a -> !a.isEmpty())
                    .forEach(a -> delays.recordValue(Math.max(0, (Long.parseLong(a) - pushed.pushedAtNs()) / 1000)));
        }
        return delays;
    }

    /** Returns the processor time so far of the hollow processes, by process id. */
    Map<Long, ProcessUsage.CpuTime> hollowCpuTimes() throws IOException, ScaleException {
        return cpuTimes(aliveProcesses());
    }

    /** Returns the processor time so far of the real proxies, by process id. */
    Map<Long, ProcessUsage.CpuTime> realCpuTimes() throws IOException, ScaleException {
        return cpuTimes(realProxies.stream().map(RealProxy::child).toList());
    }

    private Map<Long, ProcessUsage.CpuTime> cpuTimes(List<ChildProcess> processes) throws IOException, ScaleException {
        children.checkHealth();
        Map<Long, ProcessUsage.CpuTime> all = new HashMap<>();
        for (ChildProcess c : processes) {
            all.put(c.pid(), ProcessUsage.cpuTime(c.pid()));
        }
        return all;
    }

    /** Returns the resident memory of all hollow processes, in bytes. */
    long hollowResidentBytes() throws IOException {
        long sum = 0;
        for (ChildProcess c : aliveProcesses()) {
            sum += ProcessUsage.residentBytes(c.pid());
        }
        return sum;
    }

    /** Returns the heap of all hollow processes after a collection, in bytes. */
    long hollowHeapBytes() throws ScaleException {
        long sum = 0;
        for (ChildProcess c : aliveProcesses()) {
            sum += Long.parseLong(c.ask("heap"));
        }
        return sum;
    }

    /** Returns the connection attempts of the hollow proxies to discovery so far. */
    long discoveryConnects() throws ScaleException {
        long sum = 0;
        for (ChildProcess c : aliveProcesses()) {
            sum += Long.parseLong(c.ask("connects"));
        }
        return sum;
    }

    /** Fails if a hollow proxy has logged a failure. */
    void checkNoFailures() throws ScaleException {
        for (ChildProcess c : hollowProcesses) {
            String failures = c.ask("failures");
            if (!failures.startsWith("0 ")) {
                throw new ScaleException(ScaleException.COUNT, c.name() + ": " + failures);
            }
        }
    }

    @Override
    public void close() {
        children.stop(hollowProcesses);
        children.stop(realProxies.stream().map(RealProxy::child).toList());
        discovery.close();
        backends.close();
    }
}
