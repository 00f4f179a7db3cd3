package gullspar.versions.net;

import gullspar.proxy.io.ConnectOperation;
import gullspar.proxy.io.Platform;
import gullspar.versions.Delta;
import gullspar.versions.Document;
import gullspar.versions.Follower;
import gullspar.versions.Message;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** A {@link Follower} on sockets. All on the platform's loop. */
public final class FollowerNode implements Follower.Host, Link.Listener {
    /** Keeps a document and puts it in force. */
    public interface Taker {
        /** done is called on the loop, with why it is not in force, or null. */
        void take(Document d, List<Delta> led, boolean kept, Consumer<String> done);
    }

    /** Bytes of the largest update, packed. */
    static final int MOST = 32 << 20;

    private static final int CONNECT_MS = 2000;
    private static final long TICK_MS = 100;

    private final Platform platform;
    private final List<InetSocketAddress> addresses;
    private final Taker taker;
    private final Consumer<Message> heard;
    private final Follower follower;
    private final String says;
    private Link link;
    private Future<?> ticks;
    private boolean ended;
    private int connections;
    private long sent;
    private long received;

    /**
     * addresses: the control processes in this follower's order; heard: is told of what comes, after the
     * follower; says: what its lines of the log begin with.
     */
    public FollowerNode(
            String name,
            Message.Role role,
            Follower.Settings settings,
            List<InetSocketAddress> addresses,
            Platform platform,
            RandomGenerator random,
            Taker taker,
            Consumer<Message> heard,
            String says) {
        this.platform = platform;
        this.addresses = addresses;
        this.taker = taker;
        this.heard = heard;
        this.says = says;
        this.follower = new Follower(name, role, settings, addresses.size(), random, this);
    }

    /** Begins, as {@link Follower#start} says. */
    public void start(Document stored, boolean mayBeOlder) {
        follower.start(now(), stored, mayBeOlder);
        ticks = platform.loop()
                .scheduleWithFixedDelay(() -> follower.tick(now()), TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private long now() {
        return platform.clock().now();
    }

    public Follower follower() {
        return follower;
    }

    /** Has it all that its control process had, which is itself in step with the primary? */
    public boolean inStep() {
        return follower.inStep(now());
    }

    /** How many it has had so far. */
    public int connections() {
        return connections;
    }

    /** Bytes written so far on all its connections. */
    public long sent() {
        return sent + (link == null ? 0 : link.sent());
    }

    /** Bytes that came so far on all its connections. */
    public long received() {
        return received + (link == null ? 0 : link.received());
    }

    /** Ends its connection and makes no further one. */
    public void end() {
        ended = true;
        if (ticks != null) {
            ticks.cancel(false);
        }
        disconnect();
    }

    // ---- what the follower has done ----

    @Override
    public void connect(int which) {
        if (ended) {
            return;
        }
        Link mine = new Link(this, MOST);
        link = mine;
        Bootstrap bootstrap = platform.transport()
                .clientBootstrap(addresses.get(which))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .handler(mine);
        ConnectOperation[] dial = new ConnectOperation[1];
        dial[0] = ConnectOperation.start(bootstrap, platform.loop(), new ConnectOperation.Listener() {
            @Override
            public void onConnected() {
                if (link != mine) {
                    dial[0].close();
                }
            }

            @Override
            public void onFailed(ConnectOperation.Failure failure) {
                if (link == mine) {
                    link = null;
                    follower.closed(now(), String.valueOf(failure.cause().getMessage()));
                }
            }
        });
    }

    @Override
    public void disconnect() {
        Link old = link;
        link = null;
        if (old != null) {
            count(old);
            old.end(null);
        }
    }

    private void count(Link old) {
        sent += old.sent();
        received += old.received();
    }

    @Override
    public void send(Message m) {
        if (link != null) {
            link.send(m);
        }
    }

    @Override
    public void take(Document d, List<Delta> led, boolean kept) {
        // Never from within the follower, which is not done yet.
        taker.take(d, led, kept, why -> platform.loop().execute(() -> {
            if (!ended) {
                follower.taken(now(), d.version(), why);
            }
        }));
    }

    @Override
    public void say(String line) {
        platform.log().write(says + line);
    }

    // ---- what the connection brings ----

    @Override
    public void opened(Link l) {
        if (l == link) {
            connections++;
            follower.opened(now());
        }
    }

    @Override
    public void part(Link l) {
        if (l == link) {
            follower.heard(now());
        }
    }

    @Override
    public void received(Link l, Message m) {
        if (l == link) {
            follower.received(now(), m);
            heard.accept(m);
        }
    }

    @Override
    public void closed(Link l, String why) {
        if (l == link) {
            count(l);
            link = null;
            follower.closed(now(), why);
        }
    }
}
