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

/** Proxies of one shape, real and hollow, before stand-ins for discovery and the backends. */
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

    /** Starts the processes, those of the hollow proxies still empty. */
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

    /** Starts the proxies and waits until all know the list. */
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

    /** Kills a process of hollow proxies, as a crash would. */
    void killProcess(int p) {
        children.stop(List.of(hollowProcesses.get(p)));
    }

    /** The processes of hollow proxies that are there now. */
    private List<ChildProcess> aliveProcesses() {
        return hollowProcesses.stream().filter(ChildProcess::alive).toList();
    }

    /** Starts it again. */
    void restartProcess(int p) throws ScaleException, IOException {
        hollowProcesses.set(p, startHollowProcess(p));
        hollowProcesses.get(p).awaitAnswer(START_TIMEOUT_S);
        startHollowProxies(p);
        hollowProcesses.get(p).awaitAnswer(START_TIMEOUT_S);
    }

    /** How long after it was told each hollow proxy knew, in microseconds, once all do. */
    Histogram awaitPropagation(PushedVersion pushed, int timeoutS) throws ScaleException {
        long end = System.nanoTime() + timeoutS * 1_000_000_000L;
        Histogram delays = new Histogram(3);
        for (ChildProcess c : aliveProcesses()) {
            String answer = c.ask("heard " + pushed.version());
            while ((" " + answer + " ").contains(" -1 ")) {
                if (System.nanoTime() > end) {
                    throw new ScaleException(
                            ScaleException.COUNT,
                            "not all of " + c.name() + " know version " + pushed.version() + " after " + timeoutS
                                    + " s: " + answer);
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

    /** Processor time so far of the hollow ones' processes. */
    Map<Long, ProcessUsage.CpuTime> hollowCpuTimes() throws IOException, ScaleException {
        return cpuTimes(aliveProcesses());
    }

    /** The same of the real ones. */
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

    /** Resident memory of the hollow ones' processes, in bytes. */
    long hollowResidentBytes() throws IOException {
        long sum = 0;
        for (ChildProcess c : aliveProcesses()) {
            sum += ProcessUsage.residentBytes(c.pid());
        }
        return sum;
    }

    /** Heap after a collection, of all hollow ones' processes, in bytes. */
    long hollowHeapBytes() throws ScaleException {
        long sum = 0;
        for (ChildProcess c : aliveProcesses()) {
            sum += Long.parseLong(c.ask("heap"));
        }
        return sum;
    }

    /** Connections to discovery that the hollow ones have begun. */
    long discoveryConnects() throws ScaleException {
        long sum = 0;
        for (ChildProcess c : aliveProcesses()) {
            sum += Long.parseLong(c.ask("connects"));
        }
        return sum;
    }

    /** Nothing may have gone wrong within the hollow ones. */
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
