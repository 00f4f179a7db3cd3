package gullspar.site.client;

import gullspar.config.Site;
import gullspar.proxy.http.MemoryBudget;
import gullspar.proxy.io.DescriptorLimits;
import gullspar.proxy.io.Platform;
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

/** The connections of the clients, with the limits that apply to them. */
public final class Clients {
    /** Handles the requests whose route leads to a pool. */
    public interface RequestHandler {
        PendingRequest onRequest(PlainClient client, PlainRequest request, Router.Result found);

        /** The routes of a listener. */
        Router router(InetSocketAddress listener);
    }

    /** A request that was passed to the handler, as its client connection sees it. */
    public interface PendingRequest {
        /** The client has closed its connection. */
        void onClientDisconnected();

        /** The connection can take more of the response. */
        void onWritable();
    }

    /** A name or address with an optional port (RFC 9110, section 7.2); may be empty. */
    static final Pattern HOST = Pattern.compile("([A-Za-z0-9._~!$&'()*+,;=%-]*|\\[[0-9A-Fa-f:.]+\\])(:[0-9]{0,5})?");

    private static final Pattern ID = Pattern.compile("[!-~]{1,128}");
    /** Limits the response data buffered for a slow client, beyond a single read. */
    private static final WriteBufferWaterMark WRITE_BUFFER_BYTES = new WriteBufferWaterMark(16 << 10, 64 << 10);

    private static final int MAX_READ_BYTES = 32 << 10;

    private final Platform platform;
    private final DescriptorLimits.Share sockets;
    private final RequestHandler handler;
    private final MemoryBudget budget;
    /** Request ids must be unique, not unpredictable. */
    private final Random ids;
    /** Ordered by last use, the least recently used one first. */
    private final Set<PlainClient> openConnections = new LinkedHashSet<>();

    private Site.Limits limits;
    private boolean draining;

    public Clients(
            Platform platform,
            DescriptorLimits.Share sockets,
            Site.Limits limits,
            MemoryBudget budget,
            long seed,
            RequestHandler handler) {
        this.platform = platform;
        this.sockets = sockets;
        this.limits = limits;
        this.budget = budget;
        this.ids = new Random(seed);
        this.handler = handler;
        sockets.onFull(this::closeIdleConnection);
    }

    public void setLimits(Site.Limits next) {
        limits = next;
        budget.setLimit(next.maxBodyBytes());
    }

    /** Accepts a new connection to a listener. */
    public void accept(Channel c, InetSocketAddress listener) {
        if (draining || !sockets.tryAcquire()) {
            c.close();
            return;
        }
        c.closeFuture().addListener(f -> sockets.release());
        c.config().setAutoRead(false);
        c.config().setOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_BYTES);
        c.config()
                .setOption(
                        ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(512, 2048, MAX_READ_BYTES));
        PlainDecoder decoder = new PlainDecoder();
        ResponseEncoder encoder = new ResponseEncoder();
        PlainClient client = new PlainClient(c, decoder, encoder, listener, this);
        c.pipeline().addLast(decoder, encoder, client);
        openConnections.add(client);
        c.eventLoop().execute(client::read);
    }

    private boolean closeIdleConnection() {
        for (Iterator<PlainClient> i = openConnections.iterator(); i.hasNext(); ) {
            PlainClient c = i.next();
            if (c.isIdle()) {
                i.remove();
                c.close();
                return true;
            }
        }
        return false;
    }

    /** Closes connections that exceed the time limits; must be called periodically. */
    public void sweep() {
        long now = platform.clock().now();
        List.copyOf(openConnections)
                .forEach(c -> c.closeIfTimedOut(now, limits.requestTimeoutNs(), limits.idleTimeoutNs()));
    }

    /** Closes idle connections now, and the others with their next response. */
    public void drain() {
        draining = true;
        List.copyOf(openConnections).forEach(PlainClient::drain);
    }

    /** The same for the connections of one listener. */
    public void drain(InetSocketAddress listener) {
        List.copyOf(openConnections).stream().filter(c -> c.isFrom(listener)).forEach(PlainClient::drain);
    }

    public int openConnections() {
        return openConnections.size();
    }

    public void closeAll() {
        List.copyOf(openConnections).forEach(PlainClient::close);
    }

    // ---- called by the connections ----

    long now() {
        return platform.clock().now();
    }

    boolean draining() {
        return draining;
    }

    MemoryBudget budget() {
        return budget;
    }

    Router.Result find(InetSocketAddress listener, Request r) {
        return handler.router(listener).find(r);
    }

    PendingRequest onRequest(PlainClient client, PlainRequest request, Router.Result found) {
        return handler.onRequest(client, request, found);
    }

    /** The Request-Id of the client if it is valid, otherwise a new one. */
    String requestId(List<String> given) {
        if (given.size() == 1 && ID.matcher(given.get(0)).matches()) {
            return given.get(0);
        }
        byte[] id = new byte[16];
        ids.nextBytes(id);
        return ByteBufUtil.hexDump(id);
    }

    /** Sets Retry-After if the settings provide one. */
    public void setRetryAfter(HttpHeaders h) {
        if (limits.retryAfterNs() > 0) {
            h.set(HttpHeaderNames.RETRY_AFTER, ceilSeconds(limits.retryAfterNs()));
        }
    }

    /** Rounds up to whole seconds, at least 1 (RFC 9110, section 10.2.3). */
    public static long ceilSeconds(long ns) {
        return Math.max(1, (ns + 999_999_999L) / 1_000_000_000L);
    }

    void onResponseSent(PlainClient c) {
        if (openConnections.remove(c)) {
            openConnections.add(c); // move to the end: most recently used
        }
    }

    void onClosed(PlainClient c) {
        openConnections.remove(c);
    }
}
