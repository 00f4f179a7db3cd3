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

/** Connects a {@link Follower} to the network. Runs on the platform's event loop. */
public final class FollowerNode implements Follower.Host, Link.Listener {
    /** Persists a document and puts it in force. */
    public interface Applier {
        /** done receives null on success, otherwise why the document is not in force. */
        void apply(Document d, List<Delta> deltas, boolean persisted, Consumer<String> done);
    }

    /** Limit for a compressed message. */
    static final int MAX_UPDATE_BYTES = 32 << 20;

    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final long TICK_INTERVAL_MS = 100;

    private final Platform platform;
    private final List<InetSocketAddress> addresses;
    private final Applier applier;
    private final Consumer<Message> messageListener;
    private final Follower follower;
    private final String logPrefix;
    private Link link;
    private Future<?> ticks;
    private boolean stopped;
    private int connections;
    private long sentBytes;
    private long receivedBytes;

    /**
     * addresses: the control processes in order of preference; messageListener: receives each message after the
     * follower; logPrefix: starts each log line.
     */
    public FollowerNode(
            String name,
            Message.Role role,
            Follower.Settings settings,
            List<InetSocketAddress> addresses,
            Platform platform,
            RandomGenerator random,
            Applier applier,
            Consumer<Message> messageListener,
            String logPrefix) {
        this.platform = platform;
        this.addresses = addresses;
        this.applier = applier;
        this.messageListener = messageListener;
        this.logPrefix = logPrefix;
        this.follower = new Follower(name, role, settings, addresses.size(), random, this);
    }

    /** Starts the follower, see {@link Follower#start}. */
    public void start(Document stored, boolean mayBeOlder) {
        follower.start(now(), stored, mayBeOlder);
        ticks = platform.loop()
                .scheduleWithFixedDelay(
                        () -> follower.tick(now()), TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private long now() {
        return platform.clock().now();
    }

    public Follower follower() {
        return follower;
    }

    /** See {@link Follower#isInStep}. */
    public boolean isInStep() {
        return follower.isInStep(now());
    }

    /** Number of connections established so far. */
    public int connections() {
        return connections;
    }

    /** Bytes sent so far on all connections. */
    public long sentBytes() {
        return sentBytes + (link == null ? 0 : link.sentBytes());
    }

    /** Bytes received so far on all connections. */
    public long receivedBytes() {
        return receivedBytes + (link == null ? 0 : link.receivedBytes());
    }

    /** Closes the connection and opens no further one. */
    public void stop() {
        stopped = true;
        if (ticks != null) {
            ticks.cancel(false);
        }
        disconnect();
    }

    // ---- operations of the follower ----

    @Override
    public void connect(int controlIndex) {
        if (stopped) {
            return;
        }
        Link newLink = new Link(this, MAX_UPDATE_BYTES);
        link = newLink;
        Bootstrap bootstrap = platform.transport()
                .clientBootstrap(addresses.get(controlIndex))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(newLink);
        ConnectOperation[] operation = new ConnectOperation[1];
        operation[0] = ConnectOperation.start(bootstrap, platform.loop(), new ConnectOperation.Listener() {
            @Override
            public void onConnected() {
                if (link != newLink) {
                    operation[0].close();
                }
            }

            @Override
            public void onFailed(ConnectOperation.Failure failure) {
                if (link == newLink) {
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
            addBytes(old);
            old.close(null);
        }
    }

    private void addBytes(Link old) {
        sentBytes += old.sentBytes();
        receivedBytes += old.receivedBytes();
    }

    @Override
    public void send(Message m) {
        if (link != null) {
            link.send(m);
        }
    }

    @Override
    public void apply(Document d, List<Delta> deltas, boolean persisted) {
        // Scheduled on the loop, because the host must not call back before apply returns.
        applier.apply(d, deltas, persisted, failure -> platform.loop().execute(() -> {
            if (!stopped) {
                follower.applied(now(), d.version(), failure);
            }
        }));
    }

    @Override
    public void log(String line) {
        platform.log().write(logPrefix + line);
    }

    // ---- connection events ----

    @Override
    public void opened(Link l) {
        if (l == link) {
            connections++;
            follower.opened(now());
        }
    }

    @Override
    public void partReceived(Link l) {
        if (l == link) {
            follower.partReceived(now());
        }
    }

    @Override
    public void received(Link l, Message m) {
        if (l == link) {
            follower.received(now(), m);
            messageListener.accept(m);
        }
    }

    @Override
    public void closed(Link l, String reason) {
        if (l == link) {
            addBytes(l);
            link = null;
            follower.closed(now(), reason);
        }
    }
}
