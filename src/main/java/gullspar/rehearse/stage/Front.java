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
 * The front that deals clients out among the proxies of their site. It takes a proxy in once its health page
 * has answered 200 after its start, and notices only after a while that one has died.
 */
public final class Front {
    private static final long CHECK_MS = 100;

    private final RunEnvironment stage;
    private final Platform platform;
    private final Script script;
    private final SplittableRandom random;
    private final Map<String, String> sites = new LinkedHashMap<>();
    private final Map<String, Boolean> in = new LinkedHashMap<>();
    /** Counts the lives of each proxy: what is known of an earlier one says nothing of the next. */
    private final Map<String, Integer> lives = new LinkedHashMap<>();

    private String rushTo;
    private double rush;
    private Runnable whenAllIn = () -> {};

    public Front(RunEnvironment stage, Script script, List<String> proxies) {
        this.stage = stage;
        this.platform = stage.at("clients");
        this.script = script;
        this.random = new SplittableRandom(script.seed() * 31 + 2);
        for (int i = 0; i < proxies.size(); i++) {
            sites.put(proxies.get(i), script.sites().get(i % script.sites().size()));
            in.put(proxies.get(i), false);
        }
    }

    /** Calls that once, as soon as every proxy has been taken in. */
    public void whenAllIn(Runnable then) {
        whenAllIn = then;
    }

    public String site(String proxy) {
        return sites.get(proxy);
    }

    /** A proxy has been started: its health page is asked until it says that it is ready. */
    public void started(String proxy) {
        int life = lives.merge(proxy, 1, Integer::sum);
        check(proxy, life);
    }

    /** A proxy has died, or is about to: that is noticed later. */
    public void ended(String proxy) {
        int life = lives.merge(proxy, 1, Integer::sum);
        platform.loop()
                .schedule(
                        () -> {
                            if (lives.get(proxy) == life) {
                                in.put(proxy, false);
                            }
                        },
                        (long) (script.clients().noticeS().draw(random) * 1e9),
                        TimeUnit.NANOSECONDS);
    }

    private void check(String proxy, int life) {
        if (lives.get(proxy) != life) {
            return;
        }
        platform.transport()
                .clientBootstrap(stage.address(proxy))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpClientCodec(), new Check(proxy, life));
                    }
                })
                .connect()
                .channel()
                .closeFuture()
                .addListener(f -> {
                    if (lives.get(proxy) == life && !in.get(proxy)) {
                        platform.loop().schedule(() -> check(proxy, life), CHECK_MS, TimeUnit.MILLISECONDS);
                    }
                });
    }

    /** One look at a health page. */
    private final class Check extends SimpleChannelInboundHandler<HttpObject> {
        private final String proxy;
        private final int life;

        Check(String proxy, int life) {
            this.proxy = proxy;
            this.life = life;
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
                if (r.status().code() == 200 && lives.get(proxy) == life) {
                    in.put(proxy, true);
                    if (!in.containsValue(false)) {
                        Runnable then = whenAllIn;
                        whenAllIn = () -> {};
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

    /** That share of all traffic goes to one proxy, on top of its own; null ends it. */
    public void rush(String proxy, double share) {
        rushTo = proxy;
        rush = share;
    }

    /** The proxy for a client of a site, by two draws from 0 to 1; "" if there is none. */
    String deal(String site, double first, double second, String not) {
        if (rushTo != null && first < rush && in.get(rushTo) && !rushTo.equals(not)) {
            return rushTo;
        }
        List<String> open = new ArrayList<>();
        in.forEach((p, up) -> {
            if (up && sites.get(p).equals(site) && !p.equals(not)) {
                open.add(p);
            }
        });
        if (open.isEmpty()) {
            in.forEach((p, up) -> {
                if (up && !p.equals(not)) {
                    open.add(p);
                }
            });
        }
        return open.isEmpty() ? "" : open.get((int) (second * open.size()));
    }
}
