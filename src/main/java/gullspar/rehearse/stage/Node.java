package gullspar.rehearse.stage;

import gullspar.decide.Balancer.Effect;
import gullspar.proxy.io.Platform;
import gullspar.rehearse.script.Script;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * A simulated node: one process from its start to its end. It accepts requests by the protocol, works
 * on them at the pace of its CPU model, reports its load with a delay, is slow while it is cold, and collapses
 * if it is sent too much work then.
 */
final class Node {
    private static final long WARM_UP_TICK_NS = 100_000_000L;
    /** The cost of detecting a repeat, as a share of the work. */
    private static final double REPEAT_WORK_SHARE = 0.05;

    /** What all nodes share. */
    interface Context {
        RunEnvironment environment();

        EventLog eventLog();

        Script script();

        /** The filter for repeats of a class in the scope that this node belongs to. */
        RepeatFilter repeatFilter(Script.RequestClass c, Node node);

        void collapsed(Node node);
    }

    final String id;
    final String machine;
    final String site;
    final int cell;
    final Script.NodeKind kind;
    /** When it started, Unix time in ns; 0 for a node that is warm from the beginning. */
    final long bootNs;

    final InetSocketAddress address;
    private final Context context;
    private final Platform platform;
    private final SplittableRandom random;
    private final CpuModel cpu;
    private final double speed;
    private final CapacityHistory capacityHistory = new CapacityHistory();
    private final KeyCache keyCache;
    private final double connectWorkNs;
    private final double cachedKeySavings;
    private final long reportPeriodNs;
    private final long reportDelayNs;
    /** Work sent within the window of the collapse rule, oldest first: time and amount, both in ns. */
    private final Deque<double[]> sentWork = new ArrayDeque<>();

    private double sentWorkNs;
    private ScheduledFuture<?> wakeUp;
    private long wakeUpAtNs = Long.MAX_VALUE;
    private double stolenCpuShare;
    private int connections;
    private boolean isUp = true;
    private boolean isHung;
    private double spoiltShare;
    private double trickleBytesPerS;
    private String loadReport;
    private double lastBusyNs;
    private long lastReportAtNs;
    private int errors;
    private int served;

    Node(
            Context context,
            String id,
            String machine,
            String site,
            int cell,
            Script.NodeKind kind,
            double speed,
            long bootNs,
            SplittableRandom random) {
        this.context = context;
        this.id = id;
        this.machine = machine;
        this.site = site;
        this.cell = cell;
        this.kind = kind;
        this.bootNs = bootNs;
        this.platform = context.environment().platform(machine);
        this.address = context.environment().address(machine);
        this.random = random;
        long now = context.environment().now();
        this.speed = speed;
        this.cpu = new CpuModel(kind.cores(), speed, kind.slots(), kind.queue(), now);
        this.connectWorkNs = kind.connectMs().draw(random) * 1e6;
        this.keyCache = new KeyCache((long) (kind.keyMemoryS().draw(random) * 1e9), kind.maxKeys());
        this.cachedKeySavings = kind.keySaves().draw(random);
        this.reportPeriodNs = (long) (kind.reportPeriodMs().draw(random) * 1e6);
        this.reportDelayNs = (long) (kind.reportDelayMs().draw(random) * 1e6);
        this.lastReportAtNs = now;
        this.loadReport = "util=0.00,inflight=0,eps=0";
    }

    void start() {
        platform.transport()
                .serverBootstrap(address)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpRequestDecoder(), new NodeConnection(Node.this));
                    }
                })
                .bind();
        updateCapacity();
        // Spreads the reports of nodes that started together.
        after(random.nextLong(Math.max(1, reportPeriodNs)), this::makeReport);
        if (warmth() < 1) {
            after(WARM_UP_TICK_NS, this::warmUp);
        }
    }

    private void after(long ns, Runnable task) {
        platform.loop()
                .schedule(
                        () -> {
                            if (isUp) {
                                task.run();
                            }
                        },
                        ns,
                        TimeUnit.NANOSECONDS);
    }

    /** Ends the process: all its scheduled tasks are void. */
    void end() {
        isUp = false;
        context.environment().processEnded(machine);
    }

    boolean isUp() {
        return isUp;
    }

    // ---- faults ----

    void stealCpu(double share) {
        stolenCpuShare = share;
        updateCapacity();
    }

    void setHung(boolean on) {
        isHung = on;
        updateCapacity();
    }

    void setSpoiltShare(double share) {
        spoiltShare = share;
    }

    void setTrickleRate(double bytesPerSecond) {
        trickleBytesPerS = bytesPerSecond;
    }

    // ---- CPU ----

    private double warmth() {
        double age = (context.environment().now() - bootNs)
                / (context.script().rules().coldS() * 1e9);
        double startCapacity = context.script().rules().startCapacity();
        return bootNs == 0 || age >= 1 ? 1 : startCapacity + (1 - startCapacity) * Math.max(0, age);
    }

    private void warmUp() {
        updateCapacity();
        if (warmth() < 1) {
            after(WARM_UP_TICK_NS, this::warmUp);
        }
    }

    private void updateCapacity() {
        cpu.setCapacityShare(
                isHung ? 0 : (1 - stolenCpuShare) * warmth(),
                context.environment().now());
        capacityHistory.record(context.environment().now(), capacity());
        runJobs();
    }

    /** Completes finished jobs, starts waiting ones, and schedules itself for the next completion. */
    private void runJobs() {
        if (!isUp) {
            return;
        }
        long now = context.environment().now();
        for (CpuModel.Job job = cpu.pollDone(now); job != null; job = cpu.pollDone(now)) {
            ((NodeRequest) job.payload).complete(now);
            served++;
            startNext(now);
        }
        long next = cpu.nextDoneAtNs();
        if (next != wakeUpAtNs) {
            if (wakeUp != null) {
                wakeUp.cancel(false);
            }
            wakeUpAtNs = next;
            wakeUp = next == Long.MAX_VALUE
                    ? null
                    : platform.loop()
                            .schedule(
                                    () -> {
                                        wakeUpAtNs = Long.MAX_VALUE;
                                        runJobs();
                                    },
                                    Math.max(0, next - now),
                                    TimeUnit.NANOSECONDS);
        }
    }

    private void startNext(long now) {
        for (CpuModel.Job job = cpu.pollWaiting(); job != null; job = cpu.pollWaiting()) {
            NodeRequest request = (NodeRequest) job.payload;
            if (request.isExpired(now)) {
                request.reject(504);
            } else {
                request.started(now);
                cpu.startWaiting(job, now);
            }
        }
    }

    /**
     * Adds work sent to a cold node, which collapses if the work sent within the rule's window exceeds the
     * rule's multiple of what the node could have done in that time.
     */
    private void addSentWork(double usualNs, long now) {
        if (warmth() >= 1) {
            return;
        }
        long window = (long) (context.script().rules().fallS() * 1e9);
        sentWork.add(new double[] {now, usualNs});
        sentWorkNs += usualNs;
        while (sentWork.peek()[0] < now - window) {
            sentWorkNs -= sentWork.remove()[1];
        }
        capacityHistory.record(now, capacity());
        if (sentWorkNs > context.script().rules().tipMultiple() * capacityHistory.workNs(window, now)) {
            context.eventLog().addCollapse(id, now);
            end();
            context.collapsed(this);
        }
    }

    /** The present capacity in ns of work per ns; a hang does not reduce it. */
    private double capacity() {
        return cpu.cores() * speed * (1 - stolenCpuShare) * warmth();
    }

    // ---- load reports ----

    private void makeReport() {
        long now = context.environment().now();
        double busy = cpu.busyNs(now);
        double span = Math.max(1, now - lastReportAtNs);
        double util = Math.min(1, stolenCpuShare + (1 - stolenCpuShare) * (busy - lastBusyNs) / span / cpu.cores());
        lastBusyNs = busy;
        lastReportAtNs = now;
        double noise = kind.reportNoise();
        util = Math.max(0, Math.min(1, util * (1 + noise * (2 * random.nextDouble() - 1))));
        String next = String.format(
                Locale.ROOT, "util=%.2f,inflight=%d,eps=%.1f", util, cpu.inFlight(), errors / (span / 1e9));
        errors = 0;
        after(reportDelayNs, () -> loadReport = next);
        after(reportPeriodNs, this::makeReport);
    }

    int inFlight() {
        return cpu.inFlight();
    }

    /** The core time used so far. */
    double busyNs() {
        return cpu.busyNs(context.environment().now());
    }

    int cores() {
        return cpu.cores();
    }

    int served() {
        return served;
    }

    /** The weight in discovery: the speed of all cores, reduced as requests are in flight. */
    double weight() {
        return kind.cores() * kind.speed().midpoint() / (1 + cpu.inFlight() / (double) Math.max(1, kind.slots()));
    }

    // ---- connections ----

    /** Counts a new connection; true if it exceeds the node's limit. */
    boolean connectionOpened() {
        return ++connections > kind.connections();
    }

    void connectionClosed() {
        connections--;
    }

    // ---- requests ----

    /** Counts a completely received request for the collapse rule, with the middle of its class's work range. */
    void requestReceived(Order order) {
        addSentWork(
                order.requestClass.workMs().midpoint() * 1e6,
                context.environment().now());
    }

    boolean isHung() {
        return isHung;
    }

    /** Runs or queues a request; false if all slots and the queue are full. */
    boolean admit(NodeRequest request, boolean newConnection) {
        long now = context.environment().now();
        if (cpu.inFlight() >= kind.slots() + kind.queue()) {
            return false;
        }
        Order order = request.order();
        double work = order.workNs * (keyCache.checkAndStore(order.key, now) ? 1 - cachedKeySavings : 1);
        boolean keyed = order.requestClass.effect() == Effect.DEDUPLICATED;
        boolean repeat =
                keyed && context.repeatFilter(order.requestClass, this).checkAndStore(order.idempotencyKey(), now);
        work = (repeat ? work * REPEAT_WORK_SHARE : work) + (newConnection ? connectWorkNs : 0);
        CpuModel.Job job = new CpuModel.Job(request, work);
        request.admitted(job, repeat);
        cpu.offer(job, now);
        if (job.isRunning()) {
            request.started(now);
        }
        runJobs();
        return true;
    }

    /** Drops a request whose sender has closed: always while it waits, once it runs only if the kind of node does. */
    void abandoned(NodeRequest request) {
        if (request.isRunning() && kind.cancelled() == Script.Cancelled.GOES_ON) {
            return;
        }
        long now = context.environment().now();
        if (!request.isRepeat()) {
            context.repeatFilter(request.order().requestClass, this)
                    .forget(request.order().idempotencyKey()); // it has no effect
        }
        cpu.drop(request.drop(now), now);
        startNext(now);
        runJobs();
    }

    /** Draws the fault of the next response; null for none. */
    FaultyResponse.Kind drawFault() {
        if (spoiltShare > 0 && random.nextDouble() < spoiltShare) {
            errors++;
            return FaultyResponse.Kind.values()[random.nextInt(FaultyResponse.Kind.values().length)];
        }
        return null;
    }

    /** The rate of responses in bytes per second; 0 for unlimited. */
    double trickleBytesPerS() {
        return trickleBytesPerS;
    }

    /** The last load report that has taken effect, after its delay. */
    String loadReport() {
        return loadReport;
    }

    RunEnvironment environment() {
        return context.environment();
    }

    EventLog eventLog() {
        return context.eventLog();
    }

    Platform platform() {
        return platform;
    }

    /** A response body that names the request and the node, padded to that size. */
    static String body(String request, String node, int bytes) {
        String begin = request + " " + node + " ";
        return begin + ".".repeat(Math.max(0, bytes - begin.length())) + "\n";
    }

    /** Whether a node may have made this body for that request. */
    static boolean isBodyFor(String request, String body) {
        return body.startsWith(request + " ") && body.endsWith("\n");
    }
}
