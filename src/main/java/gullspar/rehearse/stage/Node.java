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
 * A stand-in for an order node: one process from its start to its end. It takes requests as the protocol
 * says, works on them as its machine allows, reports its load late, is slow while it is cold, and falls over
 * if it is sent too much then.
 */
final class Node {
    private static final long WARM_UP_TICK_NS = 100_000_000L;
    /** What a repeat that is dropped costs, as a share of the work. */
    private static final double REPEAT_WORK_SHARE = 0.05;

    /** What a node shares with the others. */
    interface Context {
        RunEnvironment environment();

        EventLog eventLog();

        Script script();

        /** Repeats of a class in the scope in which this node drops them. */
        RepeatFilter repeatFilter(Script.RequestClass c, Node node);

        void collapsed(Node node);
    }

    final String id;
    final String machine;
    final String site;
    final int cell;
    final Script.NodeKind kind;
    /** When it started, Unix time in ns; 0 for long ago: it is warm. */
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
    /** Work that was sent in the last time in which it could fall, oldest first: when, and how much. */
    private final Deque<double[]> addSentWork = new ArrayDeque<>();

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
        this.keyCache = new KeyCache((long) (kind.keyMemoryS().draw(random) * 1e9), kind.keysMost());
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
        // Nodes that started together do not report together.
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

    /** The process ends: nothing of it goes on. */
    void end() {
        isUp = false;
        context.environment().processEnded(machine);
    }

    boolean isUp() {
        return isUp;
    }

    // ---- what goes wrong ----

    void stealCpu(double share) {
        stolenCpuShare = share;
        updateCapacity();
    }

    void hang(boolean on) {
        isHung = on;
        updateCapacity();
    }

    void spoilResponses(double share) {
        spoiltShare = share;
    }

    void trickleBytesPerS(double bytesPerSecond) {
        trickleBytesPerS = bytesPerSecond;
    }

    // ---- the machine ----

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
        cpu.capacityShare(
                isHung ? 0 : (1 - stolenCpuShare) * warmth(),
                context.environment().now());
        capacityHistory.record(context.environment().now(), capacity());
        runJobs();
    }

    /** Lets go what is done, starts what may start, and wakes up again for the next. */
    private void runJobs() {
        if (!isUp) {
            return;
        }
        long now = context.environment().now();
        for (CpuModel.Job j = cpu.pollDone(now); j != null; j = cpu.pollDone(now)) {
            ((NodeRequest) j.payload).complete(now);
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
        for (CpuModel.Job j = cpu.pollWaiting(); j != null; j = cpu.pollWaiting()) {
            NodeRequest r = (NodeRequest) j.payload;
            if (r.isExpired(now)) {
                r.reject(504);
            } else {
                r.started(now);
                cpu.startWaiting(j, now);
            }
        }
    }

    /**
     * A cold node that was sent, over the time of the rule, more than the multiple of what it could do in
     * that time falls over.
     */
    private void addSentWork(double usualNs, long now) {
        if (warmth() >= 1) {
            return;
        }
        long window = (long) (context.script().rules().fallS() * 1e9);
        addSentWork.add(new double[] {now, usualNs});
        sentWorkNs += usualNs;
        while (addSentWork.peek()[0] < now - window) {
            sentWorkNs -= addSentWork.remove()[1];
        }
        capacityHistory.record(now, capacity());
        if (sentWorkNs > context.script().rules().tipMultiple() * capacityHistory.workNs(window, now)) {
            context.eventLog().addCollapse(id, now);
            end();
            context.collapsed(this);
        }
    }

    /** In ns of work in a ns: what it is fit for now, also while it hangs and does nothing. */
    private double capacity() {
        return cpu.cores() * speed * (1 - stolenCpuShare) * warmth();
    }

    // ---- what it says of itself ----

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

    /** Busy share of its cores since that much use of them, in ns of core time. */
    double busyNs() {
        return cpu.busyNs(context.environment().now());
    }

    int cores() {
        return cpu.cores();
    }

    int served() {
        return served;
    }

    /** Size as listed: its power, lowered the more it holds. */
    double weight() {
        return kind.cores() * kind.speed().middle() / (1 + cpu.inFlight() / (double) Math.max(1, kind.slots()));
    }

    // ---- connections ----

    /** One more connection; true if that is more than the node takes. */
    boolean connectionOpened() {
        return ++connections > kind.connections();
    }

    void connectionClosed() {
        connections--;
    }

    // ---- requests ----

    /** A request has come whole: so much work, by its class, was sent to this node. */
    void requestReceived(Order o) {
        addSentWork(
                o.requestClass.workMs().middle() * 1e6, context.environment().now());
    }

    boolean isHung() {
        return isHung;
    }

    /** Takes a request to run or to wait; false if all places are taken. */
    boolean admit(NodeRequest r, boolean newConnection) {
        long now = context.environment().now();
        if (cpu.inFlight() >= kind.slots() + kind.queue()) {
            return false;
        }
        Order o = r.order();
        double work = o.workNs * (keyCache.checkAndStore(o.key, now) ? 1 - cachedKeySavings : 1);
        boolean keyed = o.requestClass.effect() == Effect.DEDUPLICATED;
        boolean repeat = keyed && context.repeatFilter(o.requestClass, this).checkAndStore(o.idempotencyKey(), now);
        work = (repeat ? work * REPEAT_WORK_SHARE : work) + (newConnection ? connectWorkNs : 0);
        CpuModel.Job job = new CpuModel.Job(r, work);
        r.admitted(job, repeat);
        cpu.offer(job, now);
        if (job.isRunning()) {
            r.started(now);
        }
        runJobs();
        return true;
    }

    /** The sender of a request has gone: waiting work is dropped, running work where that stops. */
    void abandoned(NodeRequest r) {
        if (r.isRunning() && kind.cancelled() == Script.Cancelled.GOES_ON) {
            return;
        }
        long now = context.environment().now();
        if (!r.isRepeat()) {
            context.repeatFilter(r.order().requestClass, this).forget(r.order().idempotencyKey()); // it takes no effect
        }
        cpu.drop(r.drop(now), now);
        startNext(now);
        runJobs();
    }

    /** How the answer to a request that is done goes out. */
    FaultyResponse.Kind drawFault() {
        if (spoiltShare > 0 && random.nextDouble() < spoiltShare) {
            errors++;
            return FaultyResponse.Kind.values()[random.nextInt(FaultyResponse.Kind.values().length)];
        }
        return null;
    }

    /** Bytes a second of an answer; 0 for all at once. */
    double trickleBytesPerS() {
        return trickleBytesPerS;
    }

    /** What it says of its load, as it was some time ago. */
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

    /** The body of an answer: it names its request and its node, and is of a size. */
    static String body(String request, String node, int bytes) {
        String begin = request + " " + node + " ";
        return begin + ".".repeat(Math.max(0, bytes - begin.length())) + "\n";
    }

    /** Could a body have been made by a node for that request? */
    static boolean isBodyFor(String request, String body) {
        return body.startsWith(request + " ") && body.endsWith("\n");
    }
}
