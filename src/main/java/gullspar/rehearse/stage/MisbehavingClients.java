package gullspar.rehearse.stage;

import gullspar.proxy.io.Platform;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Clients that send malformed requests, or connect and send nothing. Each must get an error or a close in
 * time; none may be served.
 */
public final class MisbehavingClients {
    /** The time within which such a client must get an error or a close. */
    private static final long RESPONSE_LIMIT_MS = 3000;

    private static final String[] MALFORMED_REQUESTS = {
        "\u0000\u0001\u0002 nothing that can be read\r\n\r\n",
        "GET /%s/1 HTTP/1.1\r\nHost: x\r\nRequest-Timeout: 1\r\n\r\n",
        "GET /no-such-class/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: rude%d\r\nRequest-Timeout: 1\r\n\r\n",
        "GET /%s/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: rude%d\r\nRequest-Timeout: soon\r\n\r\n",
        "POST /%s/1 HTTP/1.1\r\nRequest-Id: rude%d\r\nContent-Length: -7\r\n\r\n",
        "POST /%s/1 HTTP/1.1\r\nRequest-Id: rude%d\r\nContent-Length: 9999999999\r\n\r\n",
        "POST /%s/1 HTTP/1.1\r\nRequest-Id: rude%d\r\nRequest-Timeout: 1\r\nContent-Length: 4\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET /%s/1 HTTP/1.1\r\nHost: x\r\nRequest-Id: rude%d\r\nX: begun and never",
        "GET /%s/1",
    };

    private final RunEnvironment environment;
    private final Platform platform;
    private final EventLog eventLog;
    private final String someClass;
    private final SplittableRandom random;
    private final Set<String> malformedRequestTargets = new HashSet<>();
    private final Set<String> silentConnectionTargets = new HashSet<>();
    private int clientCount;

    public MisbehavingClients(RunEnvironment environment, EventLog eventLog, String someClass, long seed) {
        this.environment = environment;
        this.platform = environment.platform("rude");
        this.eventLog = eventLog;
        this.someClass = someClass;
        this.random = new SplittableRandom(seed * 31 + 5);
    }

    /** Sets the number of malformed requests per second that are sent to a proxy; 0 ends them. */
    public void setMalformedRequestRate(String proxy, double perSecond) {
        run(malformedRequestTargets, proxy, perSecond, true);
    }

    /** Sets the number of connections per second that are opened to a proxy without sending anything; 0 ends them. */
    public void setSilentConnectionRate(String proxy, double perSecond) {
        run(silentConnectionTargets, proxy, perSecond, false);
    }

    private void run(Set<String> active, String proxy, double perSecond, boolean sendsText) {
        if (perSecond <= 0) {
            active.remove(proxy);
        } else if (active.add(proxy)) {
            connectNext(active, proxy, (long) (1e9 / perSecond), sendsText);
        }
    }

    private void connectNext(Set<String> active, String proxy, long intervalNs, boolean sendsText) {
        if (active.contains(proxy)) {
            int n = ++clientCount;
            String pattern = MALFORMED_REQUESTS[random.nextInt(MALFORMED_REQUESTS.length)];
            String text = !sendsText ? null : pattern.replace("%s", someClass).replace("%d", Integer.toString(n));
            platform.transport()
                    .clientBootstrap(environment.address(proxy))
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel c) {
                            c.pipeline().addLast(new MisbehavingClient(proxy, text));
                        }
                    })
                    .connect();
            platform.loop()
                    .schedule(
                            () -> connectNext(active, proxy, intervalNs, sendsText), intervalNs, TimeUnit.NANOSECONDS);
        }
    }

    /** The connection of one client. */
    private final class MisbehavingClient extends SimpleChannelInboundHandler<ByteBuf> {
        private final String proxy;
        private final String text;
        private long startedAt;
        private boolean responded;
        private String servedText;

        MisbehavingClient(String proxy, String text) {
            this.proxy = proxy;
            this.text = text;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            startedAt = environment.now();
            if (text != null) {
                ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
            }
            platform.loop()
                    .schedule(
                            () -> {
                                boolean unanswered = !responded
                                        && ctx.channel().isActive()
                                        && !eventLog.wasDisrupted(proxy, startedAt, environment.now());
                                eventLog.addMisbehavingClient(unanswered, servedText);
                                ctx.close();
                            },
                            RESPONSE_LIMIT_MS,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            String begin = bytes.toString(StandardCharsets.ISO_8859_1);
            responded = true;
            if (begin.startsWith("HTTP/1.1 200")) {
                servedText = text;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
