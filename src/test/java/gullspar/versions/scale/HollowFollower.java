package gullspar.versions.scale;

import gullspar.proxy.io.Platform;
import gullspar.versions.Delta;
import gullspar.versions.Document;
import gullspar.versions.Follower;
import gullspar.versions.Message;
import gullspar.versions.net.FollowerNode;
import gullspar.versions.net.VersionedSource;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;

/**
 * A proxy's follower without the proxy: the same code over real sockets, many to a process. It verifies each
 * version and keeps it in memory; a real one also writes it to disk and reads the routes.
 */
final class HollowFollower {
    /** Is notified when a follower has put a version in force. */
    interface Listener {
        void onInForce(long number, long atNs);
    }

    final String name;
    private final EventLoop loop;
    private final List<InetSocketAddress> addresses;
    private final Listener listener;
    private final SplittableRandom random;
    private FollowerNode node;
    private Document document;
    private long earlierBytes;
    volatile long versionInForce;

    HollowFollower(String name, EventLoop loop, List<InetSocketAddress> addresses, long seed, Listener listener) {
        this.name = name;
        this.loop = loop;
        this.addresses = VersionedSource.orderAddresses(name, addresses);
        this.listener = listener;
        this.random = new SplittableRandom(seed);
    }

    /** Starts with the document that it has kept, if any. */
    void start() {
        loop.execute(() -> {
            Platform p = Platform.of(loop);
            node = new FollowerNode(
                    name,
                    Message.Role.PROXY,
                    Follower.Settings.DEFAULTS,
                    addresses,
                    new Platform(loop, p.clock(), p.transport(), line -> {}),
                    random,
                    this::onDocument,
                    m -> {},
                    "");
            node.start(document, false);
        });
    }

    private void onDocument(Document d, List<Delta> deltas, boolean persisted, Consumer<String> done) {
        document = d;
        versionInForce = d.version().number();
        listener.onInForce(versionInForce, System.nanoTime());
        done.accept(null);
    }

    /** Stops; the document is kept for the next start. */
    void stop() throws InterruptedException, ExecutionException {
        loop.submit(() -> {
                    earlierBytes += node.sentBytes() + node.receivedBytes();
                    node.stop();
                    node = null;
                })
                .get();
    }

    /** Returns the bytes sent and received since the first start. */
    long bytes() throws InterruptedException, ExecutionException {
        return loop.submit(() -> earlierBytes + (node == null ? 0 : node.sentBytes() + node.receivedBytes()))
                .get();
    }

    boolean connected() throws InterruptedException, ExecutionException {
        return loop.submit(() -> node != null && node.follower().isConnected()).get();
    }
}
