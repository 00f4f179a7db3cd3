package gullspar.peers.net;

import gullspar.config.FleetSettings;
import gullspar.config.OperatorsFile;
import gullspar.peers.Change;
import gullspar.peers.Facts;
import gullspar.peers.Figures;
import gullspar.peers.Identity;
import gullspar.peers.Phase;
import gullspar.peers.Settings;
import gullspar.peers.Statement;
import gullspar.peers.wire.Envelope;
import gullspar.proxy.io.Platform;
import gullspar.proxy.operator.Companion;
import gullspar.toml.ProblemsException;
import io.netty.channel.ChannelFuture;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * A proxy's part in the fleet, as its operators' file says: it tells how the proxy does, and logs what it
 * hears.
 */
public final class Membership implements Companion {
    private static final int DIGEST_BYTES = 4;

    /** Reads what operators have written, of whatever kind their file is. */
    public interface Reader {
        OperatorsFile read(Path file) throws IOException, ProblemsException;
    }

    private final Path file;
    private final Reader reader;
    private final Platform platform;
    private final Supplier<Load> load;
    private final FleetSettings fleet;
    private final Carrier carrier;
    private String config;
    private Phase phase = Phase.JOINING;
    private Stage stage = Stage.WARMING;
    private Load last = Load.NONE;
    private long lastAt;
    private boolean left;

    private Membership(
            Path file,
            Reader reader,
            Platform platform,
            Supplier<Load> load,
            FleetSettings fleet,
            Envelope envelope,
            String config) {
        this.file = file;
        this.reader = reader;
        this.platform = platform;
        this.load = load;
        this.fleet = fleet;
        this.config = config;
        this.carrier = new Carrier(platform, envelope, this::say);
    }

    /** Starts it, as {@link Companion.Factory} says; null if the file says nothing of a fleet. */
    public static Membership start(Path file, Reader reader, String name, Platform platform, Supplier<Load> load)
            throws IOException {
        FleetSettings fleet = fleet(file, reader);
        if (fleet == null) {
            return null;
        }
        String called = fleet.name() != null ? fleet.name() : name;
        if (called == null || !Identity.named(called)) {
            throw new IOException(
                    file + ": [fleet] has no name, and the platform gives none that could be one: " + called);
        }
        Membership m = new Membership(file, reader, platform, load, fleet, envelope(fleet), digest(file));
        try {
            ChannelFuture bound =
                    platform.loop().submit(() -> m.carrier.bind(fleet.bind())).get();
            if (!bound.awaitUninterruptibly().isSuccess()) {
                throw new IOException(
                        "cannot hear the fleet at "
                                + NetUtil.toSocketAddressString(fleet.bind())
                                + ": " + bound.cause().getMessage(),
                        bound.cause());
            }
            platform.loop()
                    .submit(() -> m.begin(called, new SecureRandom().nextLong(), settings(fleet)))
                    .get();
            return m;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    /**
     * Takes part from when its socket is bound, without files: for rehearsals. On the loop.
     *
     * @param life a number that no other process has, nor had
     */
    public static Membership join(
            FleetSettings fleet, Settings settings, Envelope keys, long life, Platform platform, Supplier<Load> load) {
        Membership m = new Membership(null, null, platform, load, fleet, keys, "");
        m.carrier.bind(fleet.bind()).addListener(f -> {
            if (f.isSuccess()) {
                m.begin(fleet.name(), life, settings);
            } else {
                platform.log().say("fleet: cannot hear the others: " + f.cause().getMessage());
            }
        });
        return m;
    }

    private static FleetSettings fleet(Path file, Reader reader) throws IOException {
        try {
            return reader.read(file).fleet();
        } catch (ProblemsException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static Envelope envelope(FleetSettings fleet) throws IOException {
        return new Envelope(KeyFile.read(fleet.keyFile()));
    }

    private static String digest(Path file) throws IOException {
        try {
            byte[] all = MessageDigest.getInstance("SHA-256").digest(Files.readAllBytes(file));
            return HexFormat.of().formatHex(Arrays.copyOf(all, DIGEST_BYTES));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this runtime has no SHA-256", e);
        }
    }

    /** How the fleet is watched, as the file says. */
    public static Settings settings(FleetSettings fleet) {
        Settings s = Settings.every(fleet.probeIntervalNs()).within(fleet.isolationWindowNs());
        return fleet.maxBytesPerSecond() > 0 ? s.atMost(fleet.maxBytesPerSecond()) : s;
    }

    private void begin(String name, long life, Settings settings) {
        InetSocketAddress at = fleet.advertise() != null ? fleet.advertise() : carrier.address();
        String version = Membership.class.getPackage().getImplementationVersion();
        carrier.begin(
                settings,
                new Statement(
                        new Identity(name, life),
                        1,
                        NetUtil.toSocketAddressString(at),
                        fleet.zone(),
                        version == null ? "dev" : version,
                        config,
                        phase,
                        0,
                        0,
                        0,
                        Figures.NONE,
                        Facts.NONE),
                texts(fleet.seeds()),
                new SplittableRandom(life));
        lastAt = platform.clock().now();
        platform.log()
                .say("fleet: " + name + ", life " + HexFormat.of().toHexDigits(life) + ", at "
                        + NetUtil.toSocketAddressString(at) + ", "
                        + fleet.seeds().size() + " seeds");
        platform.loop()
                .scheduleWithFixedDelay(
                        this::tell, fleet.probeIntervalNs(), fleet.probeIntervalNs(), TimeUnit.NANOSECONDS);
    }

    /** Once an interval: what the proxy did since the last time. */
    private void tell() {
        if (left || !carrier.begun()) {
            return;
        }
        long now = platform.clock().now();
        Load l = load.get();
        double seconds = Math.max(1e-3, (now - lastAt) / 1e9);
        Figures f = new Figures(
                (float) ((l.ended() - last.ended()) / seconds),
                (float) ((l.refused() - last.refused()) / seconds),
                l.pending());
        last = l;
        lastAt = now;
        carrier.with(p -> {
            // Alone for good is a fleet as well: a proxy that serves is not joining.
            phase = stage == Stage.SERVING
                    ? Phase.SERVING
                    : stage == Stage.DRAINING ? Phase.DRAINING : p.size() == 1 ? Phase.JOINING : Phase.WARMING;
            p.say(now, phase, config, f, Facts.NONE);
            return null;
        });
    }

    private void say(Change c) {
        String who = c.about().name();
        String what =
                switch (c.kind()) {
                    case JOINED -> who + " joined, " + c.why();
                    case SUSPECTED -> who + " is suspected, " + c.why();
                    case CLEARED -> who + " is there after all";
                    case GONE -> who + " is gone"
                            + (c.why().isEmpty()
                                    ? ""
                                    : Identity.named(c.why()) ? ", accused by " + c.why() : ": " + c.why());
                    case BACK -> who + " is back";
                    case LEFT -> who + " left";
                    case TWIN -> who + ": " + c.why();
                    case CUT_OFF -> "cut off: " + c.why();
                    case REJOINED -> "not cut off any more: " + c.why();
                    case OBJECTED -> "objected to being called gone" + (c.why().isEmpty() ? "" : " by " + c.why());
                    case STOOD_STILL -> "stood still for " + c.why();
                    default -> "settled";
                };
        platform.log().say("fleet: " + what + String.format(Locale.ROOT, " (%d present)", c.present()));
    }

    // ---- the companion ----

    @Override
    public void at(Stage s) {
        stage = s;
        tell();
    }

    @Override
    public String answer(String path) {
        return path.equals("/_fleet") && carrier.begun()
                ? carrier.with(p -> FleetPage.of(p.view(platform.clock().now()), p.counters(), carrier))
                : null;
    }

    @Override
    public void reload() {
        try {
            FleetSettings now = fleet(file, reader);
            if (now == null || !now.bind().equals(fleet.bind()) || now.probeIntervalNs() != fleet.probeIntervalNs()) {
                platform.log().say("fleet: only keys and seeds are read again; the rest wants a restart");
            }
            Envelope keys = envelope(now == null ? fleet : now);
            String digest = digest(file);
            platform.loop().execute(() -> {
                keys(keys);
                seeds((now == null ? fleet : now).seeds());
                config = digest;
                tell();
            });
        } catch (IOException e) {
            e.getMessage().lines().forEach(line -> platform.log().say("fleet: nothing is read again: " + line));
        }
    }

    /** Looks for others there from now on. On the loop. */
    public void seeds(List<InetSocketAddress> seeds) {
        if (carrier.begun()) {
            carrier.with(p -> {
                p.seeds(platform.clock().now(), texts(seeds));
                return null;
            });
        }
    }

    private static List<String> texts(List<InetSocketAddress> addresses) {
        return addresses.stream().map(NetUtil::toSocketAddressString).toList();
    }

    /** Takes other keys from now on. On the loop. */
    public void keys(Envelope keys) {
        carrier.keys(keys);
    }

    @Override
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> gone = new CompletableFuture<>();
        if (!left && carrier.begun()) {
            left = true;
            carrier.with(p -> {
                p.leave(platform.clock().now());
                return null;
            });
        }
        platform.loop()
                .execute(
                        () -> { // what was written goes out first
                            carrier.close();
                            gone.complete(null);
                        });
        return gone;
    }
}
