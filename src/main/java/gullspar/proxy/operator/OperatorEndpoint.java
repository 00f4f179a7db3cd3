package gullspar.proxy.operator;

import gullspar.proxy.io.AcceptBackoff;
import gullspar.proxy.io.Platform;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The HTTP/1.1 endpoint for operators, one request per connection. It listens from process startup, answering
 * "not yet" at first, and shares the event loop of the proxy whose state it reports.
 */
public final class OperatorEndpoint {
    /** The source of status data; called on the event loop. */
    public interface StatusSource {
        /** True if this process can serve requests. */
        boolean isReady();

        /** The metrics as JSON. */
        String statusJson();
    }

    /**
     * Maximum number of connections without a request. Connections that send nothing would otherwise use up the
     * descriptors: the oldest is closed when another is accepted.
     */
    static final int MAX_WAITING_CONNECTIONS = 12;
    /** Time limit for a connection; requests typed at a terminal take less. */
    private static final long CONNECTION_TIMEOUT_MS = 5000;

    private static final int MAX_REQUEST_LINE_BYTES = 1024;
    private static final int MAX_HEAD_BYTES = 4096;

    private final Platform platform;
    /** Connections without a request so far, the oldest first. */
    private final Set<Channel> waitingConnections = new LinkedHashSet<>();

    private StatusSource statusSource;
    private AuxiliaryService auxiliaryService;

    /** Answers "not yet" to all requests until a status source is set. */
    public OperatorEndpoint(Platform platform) {
        this.platform = platform;
    }

    /** Sets the source of status data. To be called on the event loop. */
    public void setStatusSource(StatusSource source) {
        statusSource = source;
    }

    /** Sets the service that answers further paths. To be called on the event loop. */
    public void setAuxiliaryService(AuxiliaryService service) {
        auxiliaryService = service;
    }

    private String queryAuxiliaryService(String path) {
        return auxiliaryService == null ? null : auxiliaryService.query(path);
    }

    /**
     * Answers a synthetic request, so that Java classes are loaded before the first real one, which would delay the
     * clients on the same event loop.
     */
    public static void warmUp(StatusSource source) {
        EmbeddedChannel c =
                new EmbeddedChannel(codec(), new OperatorRequestHandler(() -> source, path -> null, channel -> {}));
        c.writeInbound(
                Unpooled.copiedBuffer("GET /_vars HTTP/1.1\r\nHost: rehearsal\r\n\r\n", StandardCharsets.US_ASCII));
        c.finishAndReleaseAll();
    }

    private static HttpServerCodec codec() {
        return new HttpServerCodec(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEAD_BYTES));
    }

    /** Starts to listen; completes when the address is bound. */
    public ChannelFuture listen(InetSocketAddress address) {
        return AcceptBackoff.addTo(platform.transport()
                .serverBootstrap(address)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        accept(c);
                    }
                })
                .bind());
    }

    private void accept(Channel c) {
        if (waitingConnections.size() >= MAX_WAITING_CONNECTIONS) {
            waitingConnections.iterator().next().close();
        }
        waitingConnections.add(c);
        c.closeFuture().addListener(f -> waitingConnections.remove(c));
        c.pipeline()
                .addLast(
                        codec(),
                        new OperatorRequestHandler(
                                () -> statusSource, this::queryAuxiliaryService, waitingConnections::remove));
        platform.loop()
                .schedule(
                        () -> {
                            c.close();
                        },
                        CONNECTION_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
    }
}
