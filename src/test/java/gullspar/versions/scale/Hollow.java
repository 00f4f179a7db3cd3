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
 * A proxy's follower without the proxy: its own code over real sockets, many in one process. It verifies each
 * version, and keeps it in memory; a real one writes it to its disk and reads the routes as well.
 */
final class Hollow {
    /** Who hears that one has a version in force. */
    interface Heard {
        void inForce(long number, long atNs);
    }

    final String name;
    private final EventLoop loop;
    private final List<InetSocketAddress> order;
    private final Heard heard;
    private final SplittableRandom random;
    private FollowerNode node;
    private Document kept;
    private long before;
    volatile long number;

    Hollow(String name, EventLoop loop, List<InetSocketAddress> addresses, long seed, Heard heard) {
        this.name = name;
        this.loop = loop;
        this.order = VersionedSource.orderAddresses(name, addresses);
        this.heard = heard;
        this.random = new SplittableRandom(seed);
    }

    /** Begins, with what it has kept. */
    void start() {
        loop.execute(() -> {
            Platform p = Platform.of(loop);
            node = new FollowerNode(
                    name,
                    Message.Role.PROXY,
                    Follower.Settings.DEFAULTS,
                    order,
                    new Platform(loop, p.clock(), p.transport(), line -> {}),
                    random,
                    this::take,
                    m -> {},
                    "");
            node.start(kept, false);
        });
    }

    private void take(Document d, List<Delta> led, boolean was, Consumer<String> done) {
        kept = d;
        number = d.version().number();
        heard.inForce(number, System.nanoTime());
        done.accept(null);
    }

    /** Goes away. */
    void end() throws InterruptedException, ExecutionException {
        loop.submit(() -> {
                    before += node.sent() + node.received();
                    node.stop();
                    node = null;
                })
                .get();
    }

    /** Bytes either way so far. */
    long bytes() throws InterruptedException, ExecutionException {
        return loop.submit(() -> before + (node == null ? 0 : node.sent() + node.received()))
                .get();
    }

    boolean connected() throws InterruptedException, ExecutionException {
        return loop.submit(() -> node != null && node.follower().isConnected()).get();
    }
}
