package gullspar.rehearse.stage;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gullspar.proxy.io.Platform;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Simulated discovery as one proxy sees it: the list that has reached its machine, and the watches on it. */
final class DiscoveryAgent {
    private static final long HEARTBEAT_MS = 2000;
    /** How long watches at the old address stay open after a move. */
    private static final long OLD_WATCH_CLOSE_DELAY_MS = 1500;
    /** A proxy must know a change once the agent has held it for this long while reachable. */
    private static final long DELIVERY_LIMIT_MS = 6000;

    /** An instance as listed. */
    record Instance(
            String id,
            String hostPort,
            String zone,
            String machineType,
            int cell,
            String lifecycle,
            double weight,
            long startedAtMs) {
        boolean isLeaving() {
            return !lifecycle.equals("in_service");
        }

        private ObjectNode json() {
            return JsonNodeFactory.instance
                    .objectNode()
                    .put("instanceId", id)
                    .put("hostPort", hostPort)
                    .put("zone", zone)
                    .put("machineType", machineType)
                    .put("cell", cell)
                    .put("lifecycle", lifecycle)
                    .put("weight", weight)
                    .put("startedAtMs", startedAtMs);
        }
    }

    /** An instance with the version of the list in which it last changed. */
    private record Versioned(Instance instance, long version) {}

    private final String proxy;
    private final RunEnvironment environment;
    private final Platform platform;
    private final EventLog eventLog;
    private final String machine;
    private final ServiceQueue callQueue;
    /** By instance id; terminated ones are kept so that a watch resumed from an old version receives them. */
    private Map<String, Versioned> instances = new LinkedHashMap<>();

    private Map<String, Versioned> frozenInstances;
    private long version = 1;
    private long frozenVersion;
    private final Set<Watch> watches = new LinkedHashSet<>();
    /** Changes received while silenced. */
    private final List<Instance> withheld = new ArrayList<>();

    private Channel listener;
    private InetSocketAddress address;
    private int moves;
    private boolean silenced;
    private boolean down;
    /** Counts changes of reachability or of the list served, so that notices scheduled before one are void. */
    private int stateChangeCount;

    DiscoveryAgent(String proxy, RunEnvironment environment, EventLog eventLog, ServiceQueue callQueue) {
        this.callQueue = callQueue;
        this.proxy = proxy;
        this.environment = environment;
        this.eventLog = eventLog;
        this.machine = "discovery";
        this.platform = environment.platform(machine);
    }

    /** Sets the list known before the day starts. */
    void initialize(List<Instance> list) {
        list.forEach(e -> instances.put(e.id(), new Versioned(e, version)));
    }

    void open() {
        address = environment.address(machine + " " + proxy);
        listen();
    }

    private void listen() {
        listener = platform.transport()
                .serverBootstrap(address)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpRequestDecoder(), new Watch());
                    }
                })
                .bind()
                .channel();
    }

    InetSocketAddress address() {
        return address;
    }

    /** Moves to another address; the old one accepts no connections and closes its watches a little later. */
    void move() {
        Set<Watch> oldWatches = new LinkedHashSet<>(watches);
        listener.close();
        moves++;
        address = environment.address(machine + " " + proxy + " " + moves);
        if (!down) {
            listen();
        }
        onStateChanged();
        platform.loop()
                .schedule(() -> oldWatches.forEach(Watch::close), OLD_WATCH_CLOSE_DELAY_MS, TimeUnit.MILLISECONDS);
    }

    void setDown(boolean on) {
        down = on;
        if (on) {
            listener.close();
            List.copyOf(watches).forEach(Watch::close); // a list keeps the order, a copied set does not
        } else {
            listen();
        }
        onStateChanged();
    }

    /** Restarts the time limit of all instances: they count as available from now on, if reachable. */
    private void onStateChanged() {
        stateChangeCount++;
        scheduleDueNotices(instances.values().stream().map(Versioned::instance).toList());
    }

    private void scheduleDueNotices(List<Instance> list) {
        int countWhenScheduled = stateChangeCount;
        list.stream()
                .filter(e -> !e.isLeaving())
                .forEach(e -> eventLog.addDueNotice(proxy, e.id(), false, environment.now()));
        platform.loop()
                .schedule(
                        () -> {
                            if (countWhenScheduled == stateChangeCount
                                    && !silenced
                                    && !down
                                    && frozenInstances == null) {
                                list.stream()
                                        .filter(e -> e.isLeaving() && instances.get(e.id()).instance == e)
                                        .forEach(e -> eventLog.addDueNotice(proxy, e.id(), true, environment.now()));
                            }
                        },
                        DELIVERY_LIMIT_MS,
                        TimeUnit.MILLISECONDS);
    }

    void setSilenced(boolean on) {
        silenced = on;
        onStateChanged();
        if (!on && !withheld.isEmpty()) {
            List<Instance> missed = List.copyOf(withheld);
            withheld.clear();
            push(missed);
        }
    }

    /** On: watches opened from now on get the present list, however it changes; off: the real one again. */
    void setFrozen(boolean on) {
        frozenInstances = on ? new LinkedHashMap<>(instances) : null;
        frozenVersion = version;
        onStateChanged();
    }

    /** Applies changes that have reached this machine. */
    void receive(List<Instance> changed) {
        version++;
        changed.forEach(e -> instances.put(e.id(), new Versioned(e, version)));
        scheduleDueNotices(changed);
        if (silenced) {
            withheld.addAll(changed);
        } else {
            push(changed);
        }
    }

    private void push(List<Instance> changed) {
        String line = updateLine(version, false, changed).toString();
        watches.stream().filter(w -> w.started).forEach(w -> w.sendUpdate(line, changed));
    }

    /** The whole list, without terminated instances. */
    ObjectNode listJson() {
        return updateLine(
                version,
                true,
                instances.values().stream()
                        .map(Versioned::instance)
                        .filter(e -> !e.lifecycle().equals("terminated"))
                        .toList());
    }

    /** Records that a starting proxy knows the present list. */
    void recordAllAsNotified() {
        instances
                .values()
                .forEach(v -> eventLog.addNotice(proxy, v.instance.id(), v.instance.isLeaving(), environment.now()));
    }

    private static ObjectNode updateLine(long version, boolean isReset, List<Instance> list) {
        ObjectNode line =
                JsonNodeFactory.instance.objectNode().put("generation", version).put("reset", isReset);
        ArrayNode instances = line.putArray("instances");
        list.forEach(e -> instances.add(e.json()));
        return line;
    }

    /** One connection to the agent. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private ChannelHandlerContext ctx;
        /** Set once the call has been served from the queue; no updates are sent before. */
        private boolean started;

        @Override
        protected void channelRead0(ChannelHandlerContext c, HttpObject message) {
            if (!(message instanceof HttpRequest request)) {
                return;
            }
            ctx = c;
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (!query.path().equals("/catalog/members")) {
                write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            if (!query.parameters().containsKey("stream")) {
                String list = listJson().toString();
                write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                return;
            }
            environment.setPeer(c.channel(), proxy);
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            watches.add(this);
            long index = Long.parseLong(
                    query.parameters().getOrDefault("index", List.of("-1")).get(0));
            platform.loop().schedule(() -> start(index), callQueue.enqueue(environment.now()), TimeUnit.NANOSECONDS);
        }

        private void start(long index) {
            if (watches.contains(this)) {
                started = true;
                sendFirstUpdate(index);
                scheduleHeartbeat();
            }
        }

        /** Sends what changed after that version; the whole list if the version is unknown. */
        private void sendFirstUpdate(long index) {
            Map<String, Versioned> from = frozenInstances != null ? frozenInstances : instances;
            long currentVersion = frozenInstances != null ? frozenVersion : version;
            boolean isReset = index < 0 || index > currentVersion;
            List<Instance> list = from.values().stream()
                    .filter(v -> isReset || v.version > index)
                    .map(Versioned::instance)
                    .filter(e -> !isReset || !e.lifecycle().equals("terminated"))
                    .toList();
            if (!silenced) {
                sendUpdate(updateLine(currentVersion, isReset, list).toString(), list);
            }
        }

        void sendUpdate(String line, List<Instance> sentInstances) {
            write(chunk(line + "\n"));
            sentInstances.forEach(e -> eventLog.addNotice(proxy, e.id(), e.isLeaving(), environment.now()));
        }

        private void scheduleHeartbeat() {
            platform.loop()
                    .schedule(
                            () -> {
                                if (watches.contains(this)) {
                                    if (!silenced) {
                                        write(chunk("\n"));
                                    }
                                    scheduleHeartbeat();
                                }
                            },
                            HEARTBEAT_MS,
                            TimeUnit.MILLISECONDS);
        }

        private static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }

        private void write(String text) {
            ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        }

        void close() {
            watches.remove(this);
            ctx.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext c) {
            watches.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext c, Throwable cause) {
            c.close();
        }
    }
}
