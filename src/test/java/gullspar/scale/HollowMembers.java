package gullspar.scale;

import com.fasterxml.jackson.databind.JsonNode;
import gullspar.config.FleetSettings;
import gullspar.peers.net.Membership;
import gullspar.peers.wire.Envelope;
import gullspar.proxy.config.Json;
import gullspar.proxy.io.Clock;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.Transport;
import gullspar.proxy.operator.AuxiliaryService;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** Members of the fleet view over UDP that serve no requests. Each has an event loop of its own. */
final class HollowMembers implements HollowProcess.CommandHandler {
    private static final byte[] KEY = new byte[Envelope.MIN_KEY_BYTES];

    private record Member(EventLoop loop, Membership membership) {}

    private final List<Member> members = new ArrayList<>();
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong received = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();

    @Override
    public String handle(String[] command) throws IOException {
        return switch (command[0]) {
            case "start" -> start(
                    Integer.parseInt(command[1]),
                    Integer.parseInt(command[2]),
                    Integer.parseInt(command[3]),
                    Integer.parseInt(command[4]));
            case "counts" -> sent + " " + sentBytes + " " + received + " " + receivedBytes;
            case "present" -> visibleMembers();
            default -> null;
        };
    }

    /** Returns the address of a member; the fleet's number keeps fleets apart. */
    private static InetSocketAddress address(int fleet, int number) {
        return new InetSocketAddress(
                "127." + (100 + fleet % 100) + "." + fleet / 100 % 250 + "." + (1 + number / 200),
                20_000 + number % 200);
    }

    private String start(int fleet, int first, int count, int intervalMs) {
        List<InetSocketAddress> seeds = List.of(address(fleet, 0), address(fleet, 1), address(fleet, 2));
        for (int i = first; i < first + count; i++) {
            EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
            Platform platform = new Platform(loop, Clock.system(), countingTransport(loop), line -> {});
            FleetSettings settings = new FleetSettings(
                    "p" + i,
                    address(fleet, i),
                    null,
                    seeds,
                    null,
                    "z" + i % BackendList.ZONES,
                    intervalMs * 1_000_000L,
                    60_000_000_000L,
                    0);
            long incarnation = 0x9e3779b97f4a7c15L * (i + 1 + 1000L * fleet);
            Membership m = loop.submit(() -> Membership.join(
                            settings,
                            Membership.settings(settings),
                            new Envelope(List.of(KEY)),
                            incarnation,
                            platform,
                            () -> AuxiliaryService.Load.NONE))
                    .syncUninterruptibly()
                    .getNow();
            loop.execute(() -> m.onStage(AuxiliaryService.Stage.SERVING));
            members.add(new Member(loop, m));
        }
        return Integer.toString(members.size());
    }

    /** Returns how many members each one sees, separated by spaces. */
    private String visibleMembers() throws IOException {
        StringBuilder all = new StringBuilder();
        for (Member m : members) {
            String page = m.loop.submit(() -> m.membership.query("/_fleet"))
                    .syncUninterruptibly()
                    .getNow();
            JsonNode seen = Json.read((page == null ? "{}" : page).getBytes(StandardCharsets.UTF_8));
            all.append(seen.path("seen").asInt()).append(' ');
        }
        return all.toString().strip();
    }

    private Transport countingTransport(EventLoop loop) {
        Transport tcp = Transport.tcp(loop);
        return new Transport() {
            @Override
            public Bootstrap clientBootstrap(InetSocketAddress address) {
                return tcp.clientBootstrap(address);
            }

            @Override
            public ServerBootstrap serverBootstrap(InetSocketAddress address) {
                return tcp.serverBootstrap(address);
            }

            @Override
            public Bootstrap datagramBootstrap(InetSocketAddress address) {
                return new Bootstrap()
                        .group(loop)
                        .channelFactory(HollowMembers.this::countingChannel)
                        .localAddress(address);
            }
        };
    }

    private NioDatagramChannel countingChannel() {
        NioDatagramChannel c = new NioDatagramChannel();
        c.pipeline().addFirst(new DatagramCounter());
        return c;
    }

    /** Counts datagrams and bytes to and from the socket. */
    private final class DatagramCounter extends ChannelDuplexHandler {
        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise done) {
            sent.incrementAndGet();
            sentBytes.addAndGet(((DatagramPacket) message).content().readableBytes());
            ctx.write(message, done);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            received.incrementAndGet();
            receivedBytes.addAndGet(((DatagramPacket) message).content().readableBytes());
            ctx.fireChannelRead(message);
        }
    }
}
