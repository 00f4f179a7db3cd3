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
    private static final long TICK_NS = 100_000_000L;
    /** What a repeat that is dropped costs, as a share of the work. */
    private static final double REPEAT_SHARE = 0.05;

    /** What a node shares with the others. */
    interface Fleet {
        RunEnvironment stage();

        EventLog eventLog();

        Script script();

        /** Repeats of a class in the scope in which this node drops them. */
        Repeats repeats(Script.RequestClass c, Node node);

        void fell(Node node);
    }

    final String id;
    final String machine;
    final String site;
    final int cell;
    final Script.NodeKind kind;
    /** When it started, Unix time in ns; 0 for long ago: it is warm. */
    final long bootNs;

    final InetSocketAddress address;
    private final Fleet fleet;
    private final Platform platform;
    private final SplittableRandom random;
    private final Machine cpu;
    private final double speed;
    private final Fitness fitness = new Fitness();
    private final KeyMemory keys;
    private final double connectNs;
    private final double saves;
    private final long reportPeriodNs;
    private final long reportDelayNs;
    /** Work that was sent in the last time in which it could fall, oldest first: when, and how much. */
    private final Deque<double[]> sent = new ArrayDeque<>();

    private double sentNs;
    private ScheduledFuture<?> wake;
    private long wakeAt = Long.MAX_VALUE;
    private double taken;
    private int connections;
    private boolean up = true;
    private boolean hung;
    private double spoilt;
    private double trickle;
    private String report;
    private double lastBusyNs;
    private long lastReportAt;
    private int errors;
    private int served;

    Node(
            Fleet fleet,
            String id,
            String machine,
            String site,
            int cell,
            Script.NodeKind kind,
            double speed,
            long bootNs,
            SplittableRandom random) {
        this.fleet = fleet;
        this.id = id;
        this.machine = machine;
        this.site = site;
        this.cell = cell;
        this.kind = kind;
        this.bootNs = bootNs;
        this.platform = fleet.stage().at(machine);
        this.address = fleet.stage().address(machine);
        this.random = random;
        long now = fleet.stage().now();
        this.speed = speed;
        this.cpu = new Machine(kind.cores(), speed, kind.slots(), kind.queue(), now);
        this.connectNs = kind.connectMs().draw(random) * 1e6;
        this.keys = new KeyMemory((long) (kind.keyMemoryS().draw(random) * 1e9), kind.maxKeys());
        this.saves = kind.keySaves().draw(random);
        this.reportPeriodNs = (long) (kind.reportPeriodMs().draw(random) * 1e6);
        this.reportDelayNs = (long) (kind.reportDelayMs().draw(random) * 1e6);
        this.lastReportAt = now;
        this.report = "util=0.00,inflight=0,eps=0";
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
        power();
        // Nodes that started together do not report together.
        after(random.nextLong(Math.max(1, reportPeriodNs)), this::makeReport);
        if (warmth() < 1) {
            after(TICK_NS, this::warm);
        }
    }

    private void after(long ns, Runnable what) {
        platform.loop()
                .schedule(
                        () -> {
                            if (up) {
                                what.run();
                            }
                        },
                        ns,
                        TimeUnit.NANOSECONDS);
    }

    /** The process ends: nothing of it goes on. */
    void end() {
        up = false;
        fleet.stage().ended(machine);
    }

    boolean up() {
        return up;
    }

    // ---- what goes wrong ----

    void neighbour(double takes) {
        taken = takes;
        power();
    }

    void hang(boolean on) {
        hung = on;
        power();
    }

    void spoil(double share) {
        spoilt = share;
    }

    void trickle(double bytesPerSecond) {
        trickle = bytesPerSecond;
    }

    // ---- the machine ----

    private double warmth() {
        double age = (fleet.stage().now() - bootNs) / (fleet.script().rules().coldS() * 1e9);
        double least = fleet.script().rules().startCapacity();
        return bootNs == 0 || age >= 1 ? 1 : least + (1 - least) * Math.max(0, age);
    }

    private void warm() {
        power();
        if (warmth() < 1) {
            after(TICK_NS, this::warm);
        }
    }

    private void power() {
        cpu.power(hung ? 0 : (1 - taken) * warmth(), fleet.stage().now());
        fitness.changed(fleet.stage().now(), couldDo());
        work();
    }

    /** Lets go what is done, starts what may start, and wakes up again for the next. */
    private void work() {
        if (!up) {
            return;
        }
        long now = fleet.stage().now();
        for (Machine.Job j = cpu.done(now); j != null; j = cpu.done(now)) {
            ((NodeRequest) j.what).done(now);
            served++;
            startNext(now);
        }
        long next = cpu.doneAt();
        if (next != wakeAt) {
            if (wake != null) {
                wake.cancel(false);
            }
            wakeAt = next;
            wake = next == Long.MAX_VALUE
                    ? null
                    : platform.loop()
                            .schedule(
                                    () -> {
                                        wakeAt = Long.MAX_VALUE;
                                        work();
                                    },
                                    Math.max(0, next - now),
                                    TimeUnit.NANOSECONDS);
        }
    }

    private void startNext(long now) {
        for (Machine.Job j = cpu.next(); j != null; j = cpu.next()) {
            NodeRequest r = (NodeRequest) j.what;
            if (r.late(now)) {
                r.turnAway(504);
            } else {
                r.started(now);
                cpu.begin(j, now);
            }
        }
    }

    /**
     * A cold node that was sent, over the time of the rule, more than the multiple of what it could do in
     * that time falls over.
     */
    private void sent(double usualNs, long now) {
        if (warmth() >= 1) {
            return;
        }
        long window = (long) (fleet.script().rules().fallS() * 1e9);
        sent.add(new double[] {now, usualNs});
        sentNs += usualNs;
        while (sent.peek()[0] < now - window) {
            sentNs -= sent.remove()[1];
        }
        fitness.changed(now, couldDo());
        if (sentNs > fleet.script().rules().tipMultiple() * fitness.over(window, now)) {
            fleet.eventLog().fell(id, now);
            end();
            fleet.fell(this);
        }
    }

    /** In ns of work in a ns: what it is fit for now, also while it hangs and does nothing. */
    private double couldDo() {
        return cpu.cores() * speed * (1 - taken) * warmth();
    }

    // ---- what it says of itself ----

    private void makeReport() {
        long now = fleet.stage().now();
        double busy = cpu.busyNs(now);
        double span = Math.max(1, now - lastReportAt);
        double util = Math.min(1, taken + (1 - taken) * (busy - lastBusyNs) / span / cpu.cores());
        lastBusyNs = busy;
        lastReportAt = now;
        double noise = kind.reportNoise();
        util = Math.max(0, Math.min(1, util * (1 + noise * (2 * random.nextDouble() - 1))));
        String next =
                String.format(Locale.ROOT, "util=%.2f,inflight=%d,eps=%.1f", util, cpu.held(), errors / (span / 1e9));
        errors = 0;
        after(reportDelayNs, () -> report = next);
        after(reportPeriodNs, this::makeReport);
    }

    int held() {
        return cpu.held();
    }

    /** Busy share of its cores since that much use of them, in ns of core time. */
    double busyNs() {
        return cpu.busyNs(fleet.stage().now());
    }

    int cores() {
        return cpu.cores();
    }

    int served() {
        return served;
    }

    /** Size as listed: its power, lowered the more it holds. */
    double weight() {
        return kind.cores() * kind.speed().midpoint() / (1 + cpu.held() / (double) Math.max(1, kind.slots()));
    }

    // ---- connections ----

    /** One more connection; true if that is more than the node takes. */
    boolean connected() {
        return ++connections > kind.connections();
    }

    void disconnected() {
        connections--;
    }

    // ---- requests ----

    /** A request has come whole: so much work, by its class, was sent to this node. */
    void wasSent(Order o) {
        sent(o.kind.workMs().midpoint() * 1e6, fleet.stage().now());
    }

    boolean hung() {
        return hung;
    }

    /** Takes a request to run or to wait; false if all places are taken. */
    boolean take(NodeRequest r, boolean newConnection) {
        long now = fleet.stage().now();
        if (cpu.held() >= kind.slots() + kind.queue()) {
            return false;
        }
        Order o = r.order();
        double work = o.workNs * (keys.remembers(o.key, now) ? 1 - saves : 1);
        boolean keyed = o.kind.effect() == Effect.DEDUPLICATED;
        boolean repeat = keyed && fleet.repeats(o.kind, this).repeat(o.idempotencyKey(), now);
        work = (repeat ? work * REPEAT_SHARE : work) + (newConnection ? connectNs : 0);
        Machine.Job job = new Machine.Job(r, work);
        r.taken(job, repeat);
        cpu.offer(job, now);
        if (job.running()) {
            r.started(now);
        }
        work();
        return true;
    }

    /** The sender of a request has gone: waiting work is dropped, running work where that stops. */
    void abandoned(NodeRequest r) {
        if (r.running() && kind.cancelled() == Script.Cancelled.GOES_ON) {
            return;
        }
        long now = fleet.stage().now();
        if (!r.repeat()) {
            fleet.repeats(r.order().kind, this).forget(r.order().idempotencyKey()); // it takes no effect
        }
        cpu.drop(r.dropped(now), now);
        startNext(now);
        work();
    }

    /** How the answer to a request that is done goes out. */
    Spoils.How how() {
        if (spoilt > 0 && random.nextDouble() < spoilt) {
            errors++;
            return Spoils.How.values()[random.nextInt(Spoils.How.values().length)];
        }
        return null;
    }

    /** Bytes a second of an answer; 0 for all at once. */
    double trickle() {
        return trickle;
    }

    /** What it says of its load, as it was some time ago. */
    String report() {
        return report;
    }

    RunEnvironment stage() {
        return fleet.stage();
    }

    EventLog eventLog() {
        return fleet.eventLog();
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
    static boolean madeFor(String request, String body) {
        return body.startsWith(request + " ") && body.endsWith("\n");
    }
}
