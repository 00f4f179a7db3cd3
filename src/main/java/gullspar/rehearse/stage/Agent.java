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

/** Discovery as one proxy sees it: what has come through to its machine, and the watches on it. */
final class Agent {
    private static final long BEAT_MS = 2000;
    /** After it has moved, open watches at the old address stay so long. */
    private static final long LINGER_MS = 1500;
    /** What it has had for so long, while it could be reached, has to be known. */
    private static final long DUE_MS = 6000;

    /** An instance as listed. */
    record Entry(
            String id,
            String hostPort,
            String site,
            String kind,
            int cell,
            String lifecycle,
            double weight,
            long startedAtMs) {
        boolean leaving() {
            return !lifecycle.equals("in_service");
        }

        private ObjectNode json() {
            return JsonNodeFactory.instance
                    .objectNode()
                    .put("instanceId", id)
                    .put("hostPort", hostPort)
                    .put("zone", site)
                    .put("machineType", kind)
                    .put("cell", cell)
                    .put("lifecycle", lifecycle)
                    .put("weight", weight)
                    .put("startedAtMs", startedAtMs);
        }
    }

    private record Versioned(Entry entry, long version) {}

    private final String proxy;
    private final RunEnvironment stage;
    private final Platform platform;
    private final EventLog eventLog;
    private final String machine;
    private final ServiceQueue turns;
    /** By instance; those that are gone stay, so that an old watch can be told. */
    private Map<String, Versioned> entries = new LinkedHashMap<>();

    private Map<String, Versioned> old;
    private long version = 1;
    private long oldVersion;
    private final Set<Watch> watches = new LinkedHashSet<>();
    private final List<Entry> unheard = new ArrayList<>();
    private Channel listener;
    private InetSocketAddress address;
    private int moves;
    private boolean silent;
    private boolean down;
    /** How often it began or ceased to be reachable, with what it has. */
    private int turned;

    Agent(String proxy, RunEnvironment stage, EventLog eventLog, ServiceQueue turns) {
        this.turns = turns;
        this.proxy = proxy;
        this.stage = stage;
        this.eventLog = eventLog;
        this.machine = "discovery";
        this.platform = stage.at(machine);
    }

    /** What is known before the day begins. */
    void knows(List<Entry> list) {
        list.forEach(e -> entries.put(e.id(), new Versioned(e, version)));
    }

    void open() {
        address = stage.address(machine + " " + proxy);
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

    /** Another address from now on; the old one takes nothing new and ends its watches a little later. */
    void move() {
        Set<Watch> left = new LinkedHashSet<>(watches);
        listener.close();
        moves++;
        address = stage.address(machine + " " + proxy + " " + moves);
        if (!down) {
            listen();
        }
        turned();
        platform.loop().schedule(() -> left.forEach(Watch::close), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    void down(boolean on) {
        down = on;
        if (on) {
            listener.close();
            List.copyOf(watches).forEach(Watch::close); // in order: a copied set has none
        } else {
            listen();
        }
        turned();
    }

    /** Whatever it has counts from now on, if it can be reached. */
    private void turned() {
        turned++;
        dueInTime(entries.values().stream().map(Versioned::entry).toList());
    }

    private void dueInTime(List<Entry> list) {
        int since = turned;
        list.stream().filter(e -> !e.leaving()).forEach(e -> eventLog.due(proxy, e.id(), false, stage.now()));
        platform.loop()
                .schedule(
                        () -> {
                            if (since == turned && !silent && !down && old == null) {
                                list.stream()
                                        .filter(e -> e.leaving() && entries.get(e.id()).entry == e)
                                        .forEach(e -> eventLog.due(proxy, e.id(), true, stage.now()));
                            }
                        },
                        DUE_MS,
                        TimeUnit.MILLISECONDS);
    }

    void silent(boolean on) {
        silent = on;
        turned();
        if (!on && !unheard.isEmpty()) {
            List<Entry> missed = List.copyOf(unheard);
            unheard.clear();
            push(missed);
        }
    }

    /** Watches that are opened from now on get the list as it is now; or the real one again. */
    void freeze(boolean on) {
        old = on ? new LinkedHashMap<>(entries) : null;
        oldVersion = version;
        turned();
    }

    /** News have come through. */
    void arrived(List<Entry> changed) {
        version++;
        changed.forEach(e -> entries.put(e.id(), new Versioned(e, version)));
        dueInTime(changed);
        if (silent) {
            unheard.addAll(changed);
        } else {
            push(changed);
        }
    }

    private void push(List<Entry> changed) {
        String line = line(version, false, changed).toString();
        watches.stream().filter(w -> w.begun).forEach(w -> w.say(line, changed));
    }

    /** The whole list, without what is gone. */
    ObjectNode json() {
        return line(
                version,
                true,
                entries.values().stream()
                        .map(Versioned::entry)
                        .filter(e -> !e.lifecycle().equals("terminated"))
                        .toList());
    }

    /** A proxy starts with what is known here. */
    void toldAll() {
        entries.values().forEach(v -> eventLog.told(proxy, v.entry.id(), v.entry.leaving(), stage.now()));
    }

    private static ObjectNode line(long version, boolean whole, List<Entry> list) {
        ObjectNode line =
                JsonNodeFactory.instance.objectNode().put("generation", version).put("reset", whole);
        ArrayNode instances = line.putArray("instances");
        list.forEach(e -> instances.add(e.json()));
        return line;
    }

    /** One connection to it. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private ChannelHandlerContext ctx;
        /** Its call has had its turn; until then it hears nothing. */
        private boolean begun;

        @Override
        protected void channelRead0(ChannelHandlerContext c, HttpObject message) {
            if (!(message instanceof HttpRequest r)) {
                return;
            }
            ctx = c;
            QueryStringDecoder q = new QueryStringDecoder(r.uri());
            if (!q.path().equals("/catalog/members")) {
                write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            if (!q.parameters().containsKey("stream")) {
                String list = json().toString();
                write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                return;
            }
            stage.peer(c.channel(), proxy);
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            watches.add(this);
            long index = Long.parseLong(
                    q.parameters().getOrDefault("index", List.of("-1")).get(0));
            platform.loop().schedule(() -> begin(index), turns.next(stage.now()), TimeUnit.NANOSECONDS);
        }

        private void begin(long index) {
            if (watches.contains(this)) {
                begun = true;
                first(index);
                beat();
            }
        }

        /** What changed after that version; the whole list for a version that it never had. */
        private void first(long index) {
            Map<String, Versioned> from = old != null ? old : entries;
            long of = old != null ? oldVersion : version;
            boolean whole = index < 0 || index > of;
            List<Entry> list = from.values().stream()
                    .filter(v -> whole || v.version > index)
                    .map(Versioned::entry)
                    .filter(e -> !whole || !e.lifecycle().equals("terminated"))
                    .toList();
            if (!silent) {
                say(line(of, whole, list).toString(), list);
            }
        }

        void say(String line, List<Entry> told) {
            write(chunk(line + "\n"));
            told.forEach(e -> eventLog.told(proxy, e.id(), e.leaving(), stage.now()));
        }

        private void beat() {
            platform.loop()
                    .schedule(
                            () -> {
                                if (watches.contains(this)) {
                                    if (!silent) {
                                        write(chunk("\n"));
                                    }
                                    beat();
                                }
                            },
                            BEAT_MS,
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
