package gullspar.proxy.operator;

import gullspar.proxy.io.AcceptFailures;
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
 * The address for operators: HTTP/1.1, one call on a connection. It listens from the process's start, when
 * the answer is still "not yet", and shares the proxy's loop, whose state it tells.
 */
public final class OperatorEndpoint {
    /** What is asked about; called on the loop. */
    public interface StatusSource {
        /** Can this process serve? */
        boolean isReady();

        /** The figures, as JSON. */
        String statusJson();
    }

    /**
     * Callers at one time. Guards against those that stay and say nothing: each holds a descriptor, and
     * the one that came first goes when another comes.
     */
    static final int MAX_CALLERS = 12;
    /** So long a caller may take for its call, in ms; a person at a terminal takes less. */
    private static final long CALL_TIMEOUT_MS = 5000;

    private static final int MAX_REQUEST_LINE_BYTES = 1024, MAX_HEAD_BYTES = 4096;

    private final Platform platform;
    /** Those that have made no call yet, in the order in which they came. */
    private final Set<Channel> callers = new LinkedHashSet<>();

    private StatusSource statusSource;
    private AuxiliaryService auxiliaryService;

    /** Until there is something to ask about, the answer is "not yet" to all. */
    public OperatorEndpoint(Platform platform) {
        this.platform = platform;
    }

    /** What is asked about from now on. To be called on the loop. */
    public void setStatusSource(StatusSource source) {
        statusSource = source;
    }

    /** Who else answers, from now on. To be called on the loop. */
    public void setAuxiliaryService(AuxiliaryService service) {
        auxiliaryService = service;
    }

    private String queryAuxiliaryService(String path) {
        return auxiliaryService == null ? null : auxiliaryService.query(path);
    }

    /**
     * Answers a call that nobody made, so that the first one that somebody makes finds all loaded: the loop
     * that answers it serves clients too.
     */
    public static void warmUp(StatusSource subject) {
        EmbeddedChannel c =
                new EmbeddedChannel(codec(), new OperatorRequestHandler(() -> subject, path -> null, called -> {}));
        c.writeInbound(
                Unpooled.copiedBuffer("GET /_vars HTTP/1.1\r\nHost: rehearsal\r\n\r\n", StandardCharsets.US_ASCII));
        c.finishAndReleaseAll();
    }

    private static HttpServerCodec codec() {
        return new HttpServerCodec(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEAD_BYTES));
    }

    /** Listens there. */
    public ChannelFuture listen(InetSocketAddress address) {
        return AcceptFailures.on(platform.transport()
                .at(address)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        accept(c);
                    }
                })
                .bind());
    }

    private void accept(Channel c) {
        if (callers.size() >= MAX_CALLERS) {
            callers.iterator().next().close();
        }
        callers.add(c);
        c.closeFuture().addListener(f -> callers.remove(c));
        c.pipeline()
                .addLast(
                        codec(),
                        new OperatorRequestHandler(() -> statusSource, this::queryAuxiliaryService, callers::remove));
        platform.loop()
                .schedule(
                        () -> {
                            c.close();
                        },
                        CALL_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
    }
}
