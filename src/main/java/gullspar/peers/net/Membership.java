package gullspar.peers.net;

import gullspar.config.FleetSettings;
import gullspar.config.OperatorsFile;
import gullspar.peers.Change;
import gullspar.peers.Facts;
import gullspar.peers.Identity;
import gullspar.peers.Phase;
import gullspar.peers.Settings;
import gullspar.peers.Statement;
import gullspar.peers.TrafficStats;
import gullspar.peers.wire.Envelope;
import gullspar.proxy.io.Platform;
import gullspar.proxy.operator.AuxiliaryService;
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
 * Membership of a proxy in the fleet, configured by its operators' file: publishes the proxy's state and traffic, and
 * logs changes of the view.
 */
public final class Membership implements AuxiliaryService {
    private static final int DIGEST_BYTES = 4;

    /** Reads the operators' file, whatever its format. */
    public interface Reader {
        OperatorsFile read(Path file) throws IOException, ProblemsException;
    }

    private final Path file;
    private final Reader reader;
    private final Platform platform;
    private final Supplier<Load> load;
    private final FleetSettings fleet;
    private final UdpTransport transport;
    private String configDigest;
    private Phase phase = Phase.JOINING;
    private Stage stage = Stage.WARMING;
    private Load lastLoad = Load.NONE;
    private long lastLoadAt;
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
        this.configDigest = config;
        this.transport = new UdpTransport(platform, envelope, this::logChange);
    }

    /** Starts it, see {@link AuxiliaryService.Factory}; null if the file has no [fleet] section. */
    public static Membership start(Path file, Reader reader, String name, Platform platform, Supplier<Load> load)
            throws IOException {
        FleetSettings fleet = fleet(file, reader);
        if (fleet == null) {
            return null;
        }
        String memberName = fleet.name() != null ? fleet.name() : name;
        if (memberName == null || !Identity.isValidName(memberName)) {
            throw new IOException(file + ": the member's name, from [fleet] or else from the platform, is '"
                    + memberName + "', expected 1 to " + Identity.MAX_LENGTH + " letters, digits or . _ - +");
        }
        Membership membership = new Membership(file, reader, platform, load, fleet, envelope(fleet), digest(file));
        try {
            ChannelFuture bound = platform.loop()
                    .submit(() -> membership.transport.bind(fleet.bind()))
                    .get();
            if (!bound.awaitUninterruptibly().isSuccess()) {
                throw new IOException(
                        "cannot bind the UDP socket of the fleet at "
                                + NetUtil.toSocketAddressString(fleet.bind())
                                + ": " + bound.cause().getMessage(),
                        bound.cause());
            }
            platform.loop()
                    .submit(() -> membership.startPeers(memberName, new SecureRandom().nextLong(), settings(fleet)))
                    .get();
            return membership;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while joining the fleet", e);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    /**
     * Joins as soon as its socket is bound, without files: for rehearsals. On the loop.
     *
     * @param life a number unique to this process
     */
    public static Membership join(
            FleetSettings fleet, Settings settings, Envelope keys, long life, Platform platform, Supplier<Load> load) {
        Membership membership = new Membership(null, null, platform, load, fleet, keys, "");
        membership.transport.bind(fleet.bind()).addListener(f -> {
            if (f.isSuccess()) {
                membership.startPeers(fleet.name(), life, settings);
            } else {
                platform.log()
                        .write("fleet: cannot bind the UDP socket: " + f.cause().getMessage());
            }
        });
        return membership;
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
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(Files.readAllBytes(file));
            return HexFormat.of().formatHex(Arrays.copyOf(hash, DIGEST_BYTES));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this runtime has no SHA-256", e);
        }
    }

    /** Returns the settings that the operators' file configures. */
    public static Settings settings(FleetSettings fleet) {
        Settings s = Settings.withInterval(fleet.probeIntervalNs()).withIsolationWindow(fleet.isolationWindowNs());
        return fleet.maxBytesPerSecond() > 0 ? s.withBytesPerSecond(fleet.maxBytesPerSecond()) : s;
    }

    private void startPeers(String name, long life, Settings settings) {
        InetSocketAddress advertised = fleet.advertise() != null ? fleet.advertise() : transport.address();
        String version = Membership.class.getPackage().getImplementationVersion();
        transport.start(
                settings,
                new Statement(
                        new Identity(name, life),
                        1,
                        NetUtil.toSocketAddressString(advertised),
                        fleet.zone(),
                        version == null ? "dev" : version,
                        configDigest,
                        phase,
                        0,
                        0,
                        0,
                        TrafficStats.NONE,
                        Facts.NONE),
                format(fleet.seeds()),
                new SplittableRandom(life));
        lastLoadAt = platform.clock().now();
        platform.log()
                .write("fleet: " + name + ", life " + HexFormat.of().toHexDigits(life) + ", at "
                        + NetUtil.toSocketAddressString(advertised) + ", "
                        + fleet.seeds().size() + " seeds");
        platform.loop()
                .scheduleWithFixedDelay(
                        this::publishStats, fleet.probeIntervalNs(), fleet.probeIntervalNs(), TimeUnit.NANOSECONDS);
    }

    /** Publishes state and traffic since the last call, once per interval. */
    private void publishStats() {
        if (left || !transport.isStarted()) {
            return;
        }
        long now = platform.clock().now();
        Load current = load.get();
        double seconds = Math.max(1e-3, (now - lastLoadAt) / 1e9);
        TrafficStats stats = new TrafficStats(
                (float) ((current.ended() - lastLoad.ended()) / seconds),
                (float) ((current.refused() - lastLoad.refused()) / seconds),
                current.pending());
        lastLoad = current;
        lastLoadAt = now;
        transport.withPeers(p -> {
            // A proxy may be the only member for good: once it serves, it is not joining any more.
            phase = stage == Stage.SERVING
                    ? Phase.SERVING
                    : stage == Stage.DRAINING ? Phase.DRAINING : p.size() == 1 ? Phase.JOINING : Phase.WARMING;
            p.updateSelf(now, phase, configDigest, stats, Facts.NONE);
            return null;
        });
    }

    private void logChange(Change c) {
        String subject = c.subject().name();
        String description =
                switch (c.kind()) {
                    case JOINED -> subject + " joined, " + c.reason();
                    case SUSPECTED -> subject + " is suspected, " + c.reason();
                    case CLEARED -> subject + " is alive, suspicion refuted";
                    case GONE -> subject + " is gone"
                            + (c.reason().isEmpty()
                                    ? ""
                                    : Identity.isValidName(c.reason())
                                            ? ", accused by " + c.reason()
                                            : ": " + c.reason());
                    case BACK -> subject + " is back";
                    case LEFT -> subject + " left";
                    case TWIN -> subject + ": " + c.reason();
                    case CUT_OFF -> "cut off: " + c.reason();
                    case REJOINED -> "not cut off any more: " + c.reason();
                    case OBJECTED -> "objected to being called gone"
                            + (c.reason().isEmpty() ? "" : " by " + c.reason());
                    case STOOD_STILL -> "stood still for " + c.reason();
                    default -> "settled";
                };
        platform.log().write("fleet: " + description + String.format(Locale.ROOT, " (%d present)", c.present()));
    }

    // ---- auxiliary service ----

    @Override
    public void onStage(Stage s) {
        stage = s;
        publishStats();
    }

    @Override
    public String query(String path) {
        return path.equals("/_fleet") && transport.isStarted()
                ? transport.withPeers(p -> FleetPage.of(p.view(platform.clock().now()), p.counters(), transport))
                : null;
    }

    @Override
    public void reload() {
        try {
            FleetSettings updated = fleet(file, reader);
            if (updated == null
                    || !updated.bind().equals(fleet.bind())
                    || updated.probeIntervalNs() != fleet.probeIntervalNs()) {
                platform.log()
                        .write("fleet: only keys and seeds are reloaded; other changes of [fleet] need a restart");
            }
            Envelope keys = envelope(updated == null ? fleet : updated);
            String digest = digest(file);
            platform.loop().execute(() -> {
                setKeys(keys);
                setSeeds((updated == null ? fleet : updated).seeds());
                configDigest = digest;
                publishStats();
            });
        } catch (IOException e) {
            e.getMessage().lines().forEach(line -> platform.log()
                    .write("fleet: reload failed, nothing was changed: " + line));
        }
    }

    /** Replaces the seeds. On the loop. */
    public void setSeeds(List<InetSocketAddress> seeds) {
        if (transport.isStarted()) {
            transport.withPeers(p -> {
                p.setSeeds(platform.clock().now(), format(seeds));
                return null;
            });
        }
    }

    private static List<String> format(List<InetSocketAddress> addresses) {
        return addresses.stream().map(NetUtil::toSocketAddressString).toList();
    }

    /** Replaces the keys. On the loop. */
    public void setKeys(Envelope keys) {
        transport.setKeys(keys);
    }

    @Override
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        if (!left && transport.isStarted()) {
            left = true;
            transport.withPeers(p -> {
                p.leave(platform.clock().now());
                return null;
            });
        }
        platform.loop()
                .execute(
                        () -> { // pending writes are sent first
                            transport.close();
                            closed.complete(null);
                        });
        return closed;
    }
}
