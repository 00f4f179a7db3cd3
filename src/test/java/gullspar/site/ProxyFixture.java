package gullspar.site;

import gullspar.config.Site;
import gullspar.config.SiteReader;
import gullspar.decide.Policy;
import gullspar.proxy.Peer;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.ServingLoop;
import gullspar.proxy.io.Transport;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A proxy with a given configuration, for tests. */
public final class ProxyFixture implements AutoCloseable {
    static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    static final String GET = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    static final String LISTENER = "[[listener]]\naddress = \"127.0.0.1:0\"\n";

    final ServingLoop serving = ServingLoop.start();
    final EventLoop loop = serving.loop();
    final BlockingQueue<String> log = new LinkedBlockingQueue<>();
    final SiteProxy proxy;

    public ProxyFixture(String toml) throws Exception {
        Platform platform = Platform.of(serving, Transport.tcp(loop), log::add);
        proxy = SiteProxy.start(SiteReader.parse(toml, "test"), platform, Policy::new, 7);
    }

    /**
     * The configuration of a pool with these servers, and of a default host with one route to it; route holds
     * further lines of the route.
     */
    static String poolConfig(String route, Peer... peers) {
        StringBuilder s = new StringBuilder("[[pool]]\nname = \"p\"\n");
        for (Peer p : peers) {
            s.append("[[pool.server]]\naddress = \"").append(p.hostPort()).append("\"\n");
        }
        return s + "[[host]]\ndefault = true\n[[host.route]]\npath = \"/\"\npool = \"p\"\n" + route + "\n";
    }

    /** The status of a response; empty if there is none. */
    static String status(String answer) {
        return answer.isEmpty() ? "" : answer.substring(9, 12);
    }

    /** A proxy with the configuration of poolConfig(). */
    static ProxyFixture withPool(String route, Peer... peers) throws Exception {
        return new ProxyFixture(LISTENER + poolConfig(route, peers));
    }

    /** The address to which the listener of LISTENER is bound. */
    public InetSocketAddress address() {
        return proxy.address(ANY);
    }

    Peer.Wire connect() throws IOException {
        return Peer.Wire.to(address());
    }

    /** Waits for a log line that contains part. */
    String awaitLogLine(String part) throws InterruptedException {
        String line = log.poll(20, TimeUnit.SECONDS);
        while (line != null && !line.contains(part)) {
            line = log.poll(20, TimeUnit.SECONDS);
        }
        if (line == null) {
            throw new AssertionError("no log line contains: " + part);
        }
        return line;
    }

    void reload(String toml) throws Exception {
        Site s = SiteReader.parse(toml, "test");
        loop.submit(() -> proxy.reload(s)).get();
    }

    public SiteProxy proxy() {
        return proxy;
    }

    @Override
    public void close() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
