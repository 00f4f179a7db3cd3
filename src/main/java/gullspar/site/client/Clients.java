package gullspar.site.client;

import gullspar.config.Site;
import gullspar.proxy.http.BodyBudget;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.Sockets;
import gullspar.route.Request;
import gullspar.route.Router;
import gullspar.site.http.PlainRequest;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.regex.Pattern;

/** The clients' connections: within the limits, each with its routes. */
public final class Clients {
    /** Who takes the requests that have a route to a pool. */
    public interface Taker {
        Taken taken(PlainClient client, PlainRequest request, Router.Result found);

        /** The routes of what comes to a listener. */
        Router router(InetSocketAddress listener);
    }

    /** A request that was taken, as its connection sees it. */
    public interface Taken {
        /** The client has gone away. */
        void abandoned();

        /** There is room again for more of the answer. */
        void writable();
    }

    /** A name or address, and a port (RFC 9110, section 7.2); empty for what has none. */
    static final Pattern HOST = Pattern.compile("([A-Za-z0-9._~!$&'()*+,;=%-]*|\\[[0-9A-Fa-f:.]+\\])(:[0-9]{0,5})?");

    private static final Pattern ID = Pattern.compile("[!-~]{1,128}");
    /** A slow client holds so much of its answer at the most, and what is read in one go. */
    private static final WriteBufferWaterMark HELD = new WriteBufferWaterMark(16 << 10, 64 << 10);

    private static final int MOST_READ = 32 << 10;

    private final Platform platform;
    private final Sockets.Share sockets;
    private final Taker taker;
    private final BodyBudget budget;
    /** Ids need be no secret, only different. */
    private final Random ids;
    /** The one that was used longest ago first. */
    private final Set<PlainClient> open = new LinkedHashSet<>();

    private Site.Limits limits;
    private boolean draining;

    public Clients(
            Platform platform, Sockets.Share sockets, Site.Limits limits, BodyBudget budget, long seed, Taker taker) {
        this.platform = platform;
        this.sockets = sockets;
        this.limits = limits;
        this.budget = budget;
        this.ids = new Random(seed);
        this.taker = taker;
        sockets.whenFull(this::closeOneIdle);
    }

    /** Other limits from now on. */
    public void limit(Site.Limits next) {
        limits = next;
        budget.limit(next.maxBodyBytes());
    }

    /** A new connection that came to a listener. */
    public void accept(Channel c, InetSocketAddress listener) {
        if (draining || !sockets.take()) {
            c.close();
            return;
        }
        c.closeFuture().addListener(f -> sockets.release());
        c.config().setAutoRead(false);
        c.config().setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, HELD);
        c.config().setOption(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(512, 2048, MOST_READ));
        PlainDecoder decoder = new PlainDecoder();
        AnswerEncoder encoder = new AnswerEncoder();
        PlainClient client = new PlainClient(c, decoder, encoder, listener, this);
        c.pipeline().addLast(decoder, encoder, client);
        open.add(client);
        c.eventLoop().execute(client::read);
    }

    private boolean closeOneIdle() {
        for (Iterator<PlainClient> i = open.iterator(); i.hasNext(); ) {
            PlainClient c = i.next();
            if (c.idle()) {
                i.remove();
                c.close();
                return true;
            }
        }
        return false;
    }

    /** Ends connections that keep the proxy waiting; to be called now and then. */
    public void sweep() {
        long now = platform.clock().now();
        List.copyOf(open).forEach(c -> c.check(now, limits.requestTimeoutNs(), limits.idleTimeoutNs()));
    }

    /** Answers from now on end their connections, idle ones end now. */
    public void drain() {
        draining = true;
        List.copyOf(open).forEach(PlainClient::drain);
    }

    /** The same for those that came to a listener. */
    public void drain(InetSocketAddress listener) {
        List.copyOf(open).stream().filter(c -> c.came(listener)).forEach(PlainClient::drain);
    }

    /** Connections that are open. */
    public int open() {
        return open.size();
    }

    /** Ends all that are left. */
    public void closeAll() {
        List.copyOf(open).forEach(PlainClient::close);
    }

    // ---- what the connections say ----

    long now() {
        return platform.clock().now();
    }

    boolean draining() {
        return draining;
    }

    BodyBudget budget() {
        return budget;
    }

    Router.Result find(InetSocketAddress listener, Request r) {
        return taker.router(listener).find(r);
    }

    Taken taken(PlainClient client, PlainRequest request, Router.Result found) {
        return taker.taken(client, request, found);
    }

    /** The client's own id, if it is one; else a new one. */
    String id(List<String> given) {
        if (given.size() == 1 && ID.matcher(given.get(0)).matches()) {
            return given.get(0);
        }
        byte[] id = new byte[16];
        ids.nextBytes(id);
        return ByteBufUtil.hexDump(id);
    }

    /** Says when to come again, where settings allow. */
    public void retryAfter(HttpHeaders h) {
        if (limits.retryAfterNs() > 0) {
            h.set(HttpHeaderNames.RETRY_AFTER, seconds(limits.retryAfterNs()));
        }
    }

    /** Whole seconds, one at the least (RFC 9110, section 10.2.3). */
    public static long seconds(long ns) {
        return Math.max(1, (ns + 999_999_999L) / 1_000_000_000L);
    }

    void answered(PlainClient c) {
        if (open.remove(c)) {
            open.add(c); // to the end of the order of use
        }
    }

    void closed(PlainClient c) {
        open.remove(c);
    }
}
