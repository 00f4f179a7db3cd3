package gullspar.versions.net;

import gullspar.config.FollowFile;
import gullspar.config.Site;
import gullspar.config.SiteReader;
import gullspar.proxy.io.Log;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.ServingLoop;
import gullspar.site.ConfigSource;
import gullspar.toml.BlockParser;
import gullspar.toml.ProblemsException;
import gullspar.versions.Delta;
import gullspar.versions.Document;
import gullspar.versions.Follower;
import gullspar.versions.Message;
import gullspar.versions.Preference;
import gullspar.versions.file.DiskFolder;
import gullspar.versions.file.Folder;
import gullspar.versions.file.Store;
import gullspar.versions.wire.Codec;
import io.netty.channel.EventLoop;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/**
 * A proxy's configuration as received from control processes. It has its own loop and worker, because parsing a
 * large document must not delay requests.
 */
public final class VersionedSource implements ConfigSource {
    private static final Log LOG = Log.standardError();

    private final FollowFile file;
    private final Store store;
    /** Used on the worker only. */
    private final BlockParser blocks = new BlockParser();

    private final ExecutorService worker;
    private final FollowerNode node;
    private final EventLoop loop;
    private final Store.Found found;
    private final CompletableFuture<Site> initialSite = new CompletableFuture<>();
    /** Completed when the proxy starts to serve. */
    private final CompletableFuture<ConfigReceiver> receiver = new CompletableFuture<>();

    private VersionedSource(FollowFile file, Folder folder) throws IOException {
        this.file = file;
        this.store = new Store(folder);
        this.found = store.read();
        this.worker = Executors.newSingleThreadExecutor(r -> {
            Thread t = new Thread(r, "versions-disk");
            t.setDaemon(true);
            return t;
        });
        ServingLoop serving = ServingLoop.start();
        this.loop = serving.loop();
        Follower.Settings defaults = Follower.Settings.DEFAULTS;
        this.node = new FollowerNode(
                file.name(),
                Message.Role.PROXY,
                new Follower.Settings(
                        file.startupWaitNs(),
                        defaults.outdatedTimeoutNs(),
                        defaults.silenceTimeoutNs(),
                        defaults.initialBackoffNs(),
                        defaults.maxBackoffNs(),
                        defaults.applyRetryNs()),
                orderAddresses(file.name(), file.addresses()),
                Platform.of(serving),
                new SplittableRandom(System.nanoTime()),
                this::apply,
                m -> {},
                "versions: ");
    }

    /** Locks the folder and reads the stored version; throws IOException if that fails. */
    public static VersionedSource open(FollowFile file) throws IOException {
        return new VersionedSource(file, DiskFolder.open(file.directory()));
    }

    /** The addresses in the order in which the follower of that name tries them. */
    public static List<InetSocketAddress> orderAddresses(String name, List<InetSocketAddress> addresses) {
        Map<String, InetSocketAddress> byText = new HashMap<>();
        addresses.forEach(a -> byText.put(NetUtil.toSocketAddressString(a), a));
        return Preference.order(name, List.copyOf(byText.keySet())).stream()
                .map(byText::get)
                .toList();
    }

    @Override
    public Site initial() {
        found.damage().forEach(line -> LOG.write("versions: " + line));
        Document stored = found.stored() == null ? null : found.stored().document();
        LOG.write(
                "versions: " + (stored == null ? "no version on the disk" : "has " + stored.version() + " on the disk")
                        + "; connecting to one of " + file.addresses().size() + " control processes");
        loop.execute(() -> node.start(stored, found.mayBeOlder()));
        return initialSite.join();
    }

    /** Parses the document, persists it, then puts it in force. */
    private void apply(Document d, List<Delta> deltas, boolean persisted, Consumer<String> done) {
        worker.execute(() -> {
            Site site;
            try {
                Site shared =
                        SiteReader.parse(d.text(), "version " + d.version().number(), blocks);
                site = new Site(
                        shared.listeners(), shared.pools(), shared.limits(), shared.forwarded(), file.operators());
                if (!persisted) {
                    store.persist(new Codec.StoredDocument(d, null, List.of()));
                }
            } catch (ProblemsException e) {
                done.accept("invalid for this proxy: "
                        + e.getMessage().lines().findFirst().orElse(""));
                return;
            } catch (IOException e) {
                done.accept("it cannot be kept: " + (e.getMessage() == null ? e : e.getMessage()));
                return;
            } catch (RuntimeException e) { // a bug in the parser must not stop later versions
                done.accept("internal error while applying it: " + e);
                return;
            }
            if (initialSite.complete(site)) {
                receiver.thenRun(() -> {
                    LOG.write("versions: " + d.version() + " is in force");
                    done.accept(null);
                });
            } else {
                receiver.thenAccept(p -> p.accept(site, failure -> {
                    if (failure == null) {
                        LOG.write("versions: " + d.version() + " is in force");
                    }
                    done.accept(failure);
                }));
            }
        });
    }

    @Override
    public void start(ConfigReceiver to) {
        receiver.complete(to);
    }

    @Override
    public void reload(ConfigReceiver to) {
        LOG.write("versions: SIGHUP ignored: the configuration comes from the control processes");
    }
}
