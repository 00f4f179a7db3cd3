package gullspar.rehearse.stage;

import gullspar.proxy.io.Platform;
import gullspar.rehearse.script.Script;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The simulated load balancer in front of the proxies, which distributes clients among those of their site. It
 * adds a started proxy once its health page responds with 200, and notices the end of one only after a delay.
 */
public final class FrontBalancer {
    private static final long CHECK_INTERVAL_MS = 100;

    private final RunEnvironment environment;
    private final Platform platform;
    private final Script script;
    private final SplittableRandom random;
    private final Map<String, String> sites = new LinkedHashMap<>();
    private final Map<String, Boolean> inRotation = new LinkedHashMap<>();
    /** Starts and ends of each proxy: a check or delayed notice of an earlier process must not affect a later one. */
    private final Map<String, Integer> generations = new LinkedHashMap<>();

    private String surgeProxy;
    private double surgeShare;
    private Runnable onAllReady = () -> {};

    public FrontBalancer(RunEnvironment environment, Script script, List<String> proxies) {
        this.environment = environment;
        this.platform = environment.platform("clients");
        this.script = script;
        this.random = new SplittableRandom(script.seed() * 31 + 2);
        for (int i = 0; i < proxies.size(); i++) {
            sites.put(proxies.get(i), script.sites().get(i % script.sites().size()));
            inRotation.put(proxies.get(i), false);
        }
    }

    /** Runs the callback once, as soon as every proxy is in rotation. */
    public void onAllReady(Runnable then) {
        onAllReady = then;
    }

    public String site(String proxy) {
        return sites.get(proxy);
    }

    /** Polls the health page of a started proxy until it is ready. */
    public void proxyStarted(String proxy) {
        int generation = generations.merge(proxy, 1, Integer::sum);
        checkHealth(proxy, generation);
    }

    /** Takes a proxy that has ended, or is about to, out of rotation after the delay of its noticing. */
    public void proxyEnded(String proxy) {
        int generation = generations.merge(proxy, 1, Integer::sum);
        platform.loop()
                .schedule(
                        () -> {
                            if (generations.get(proxy) == generation) {
                                inRotation.put(proxy, false);
                            }
                        },
                        (long) (script.clients().noticeS().draw(random) * 1e9),
                        TimeUnit.NANOSECONDS);
    }

    private void checkHealth(String proxy, int generation) {
        if (generations.get(proxy) != generation) {
            return;
        }
        platform.transport()
                .clientBootstrap(environment.address(proxy))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpClientCodec(), new HealthCheck(proxy, generation));
                    }
                })
                .connect()
                .channel()
                .closeFuture()
                .addListener(f -> {
                    if (generations.get(proxy) == generation && !inRotation.get(proxy)) {
                        platform.loop()
                                .schedule(
                                        () -> checkHealth(proxy, generation), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    /** One request to a health page. */
    private final class HealthCheck extends SimpleChannelInboundHandler<HttpObject> {
        private final String proxy;
        private final int generation;

        HealthCheck(String proxy, int generation) {
            this.proxy = proxy;
            this.generation = generation;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.pipeline()
                    .context(HttpClientCodec.class)
                    .writeAndFlush(Unpooled.copiedBuffer(
                            "GET /_health HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n",
                            StandardCharsets.US_ASCII));
            platform.loop().schedule(() -> ctx.close(), 1, TimeUnit.SECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
            if (message instanceof HttpResponse r) {
                if (r.status().code() == 200 && generations.get(proxy) == generation) {
                    inRotation.put(proxy, true);
                    if (!inRotation.containsValue(false)) {
                        Runnable then = onAllReady;
                        onAllReady = () -> {};
                        then.run();
                    }
                }
                ctx.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Sends that share of all traffic to one proxy, on top of its own; a null proxy ends it. */
    public void setSurge(String proxy, double share) {
        surgeProxy = proxy;
        surgeShare = share;
    }

    /**
     * Chooses the proxy for a client of a site, other than the excluded one; "" if there is none. Two random numbers
     * from 0 to 1 are used: the first decides on a surge, the second on the proxy.
     */
    String chooseProxy(String site, double surgeDraw, double proxyDraw, String excluded) {
        if (surgeProxy != null
                && surgeDraw < surgeShare
                && inRotation.get(surgeProxy)
                && !surgeProxy.equals(excluded)) {
            return surgeProxy;
        }
        List<String> candidates = new ArrayList<>();
        inRotation.forEach((p, up) -> {
            if (up && sites.get(p).equals(site) && !p.equals(excluded)) {
                candidates.add(p);
            }
        });
        if (candidates.isEmpty()) {
            inRotation.forEach((p, up) -> {
                if (up && !p.equals(excluded)) {
                    candidates.add(p);
                }
            });
        }
        return candidates.isEmpty() ? "" : candidates.get((int) (proxyDraw * candidates.size()));
    }
}
