package gullspar.versions.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.cli.RootCommand;
import gullspar.config.ControlFile;
import gullspar.proxy.io.Platform;
import gullspar.versions.Follower;
import gullspar.versions.Message;
import gullspar.versions.file.DiskFolder;
import gullspar.versions.file.Store;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;

/** Exit codes and output of the commands, with a control node inside the test process. */
@Isolated("redirects System.out and System.err of the whole process")
@Timeout(60)
class VersionsCommandsTest {
    private record CommandResult(int code, String out, String err) {}

    @TempDir
    private Path folder;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final ExecutorService worker = Executors.newSingleThreadExecutor();
    private ControlNode primary;
    private String at;

    private static CommandResult run(String... args) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream o = new ByteArrayOutputStream();
        ByteArrayOutputStream e = new ByteArrayOutputStream();
        System.setOut(new PrintStream(o, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(e, true, StandardCharsets.UTF_8));
        try {
            int code = RootCommand.run(args);
            return new CommandResult(code, o.toString(StandardCharsets.UTF_8), e.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    private static int freePort() throws Exception {
        try (ServerSocket s = new ServerSocket(0)) {
            return s.getLocalPort();
        }
    }

    @BeforeEach
    void start() throws Exception {
        at = "127.0.0.1:" + freePort();
        ControlFile file = ControlFile.parse(
                "name = \"c1\"\nprimary = \"c1\"\nfolder = \"" + folder + "\"\n[[control]]\nname = \"c1\"\naddress = \""
                        + at + "\"\n",
                "control.toml");
        Store store = new Store(DiskFolder.open(folder.resolve("c1")));
        Store.Found found = store.read();
        Platform platform = Platform.of(loop);
        primary = new ControlNode(
                file,
                new Platform(loop, platform.clock(), platform.transport(), line -> {}),
                store,
                worker,
                new SplittableRandom(1),
                new DocumentValidator()::problems);
        CompletableFuture<String> bound = new CompletableFuture<>();
        loop.execute(() -> primary.start(found, bound::complete));
        assertEquals(null, bound.get(10, TimeUnit.SECONDS));
    }

    @AfterEach
    void end() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        worker.shutdown();
    }

    private String file(String text) throws Exception {
        return Files.writeString(folder.resolve("site.toml"), text).toString();
    }

    /** Starts a follower that puts every version in force, or fails with the given trouble. */
    private FollowerNode follower(String name, String trouble) throws Exception {
        Platform platform = Platform.of(loop);
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", Integer.parseInt(at.substring(10)));
        FollowerNode.Applier applier = (d, deltas, persisted, done) -> done.accept(trouble);
        FollowerNode n = new FollowerNode(
                name,
                Message.Role.PROXY,
                Follower.Settings.DEFAULTS,
                List.of(address),
                new Platform(loop, platform.clock(), platform.transport(), line -> {}),
                new SplittableRandom(2),
                applier,
                m -> {},
                "");
        loop.submit(() -> n.start(null, false)).get();
        while (!run("versions", "--at", at).out().contains(name)) {
            Thread.sleep(10);
        }
        return n;
    }

    @Test
    void publishReportsTheOutcome() throws Exception {
        CommandResult first = run("publish", file(Processes.document("one")), "--to", at);
        assertEquals(0, first.code(), first.err());
        assertTrue(first.out().startsWith("version 1.1 ("), first.out());
        assertTrue(first.out().contains("is in force at all 1"), first.out());
        assertEquals(2, run("publish", file("x = [\n"), "--to", at).code());
        CommandResult wrong = run("publish", file(Processes.document("two") + "odd = 1\n"), "--to", at);
        assertEquals(2, wrong.code());
        assertTrue(wrong.err().contains("site.toml:8:1: "), wrong.err());
        CommandResult own = run(
                "publish",
                file(Processes.document("two") + "[operator]\naddress = " + "\"127.0.0.1:9901\"\n"),
                "--to",
                at);
        assertEquals(2, own.code());
        assertTrue(own.err().contains("site.toml:8:1: [operator] belongs to one process"), own.err());
        CommandResult late = run("publish", file(Processes.document("two")), "--to", at, "--after", "0");
        assertEquals(3, late.code());
        assertTrue(late.err().contains("written against version 0, but 1.1"), late.err());
        CommandResult same = run("publish", file(Processes.document("one")), "--to", at);
        assertEquals(0, same.code());
        assertTrue(same.err().contains("already"), same.err());
        assertEquals(
                1,
                run("publish", file(Processes.document("two")), "--to", "127.0.0.1:" + freePort())
                        .code());
        assertEquals(
                2, run("publish", folder.resolve("none").toString(), "--to", at).code());
        assertEquals(
                2,
                run("publish", folder.resolve("none").toString(), "--to", "nowhere")
                        .code());
    }

    @Test
    void followersNotInForceAreListedWithTheReason() throws Exception {
        FollowerNode well = follower("p-well", null);
        follower("p-ill", "it cannot be kept: No space left on device");
        CommandResult ill = run("publish", file(Processes.document("one")), "--to", at, "--wait", "0.5");
        assertEquals(4, ill.code());
        assertTrue(ill.out().contains("is not in force at 1 of 3"), ill.out());
        assertTrue(ill.out().matches("(?s).*p-ill +nothing +by c1; it cannot be kept: No space left.*"), ill.out());
        loop.submit(well::stop).get();
        while (!run("versions", "--at", at).out().contains("p-well")) {
            Thread.sleep(10);
        }
        CommandResult away = run("publish", file(Processes.document("two")), "--to", at, "--wait", "0.5");
        assertEquals(4, away.code());
        assertTrue(away.out().matches("(?s).*p-well +1\\.1 +by c1 away for.*"), away.out());
        CommandResult status = run("versions", "--at", at);
        assertEquals(4, status.code());
        assertTrue(status.out().startsWith("c1, the primary: version 1.2 ("), status.out());
        assertEquals(1, run("versions", "--at", "127.0.0.1:" + freePort()).code());
    }

    @Test
    void configurationErrorsAreReportedWithTheirPosition() throws Exception {
        CommandResult control = run(
                "control",
                "--config",
                file("name = \"c9\"\nprimary = \"c1\"\n"
                        + "bytes_per_second = 5\nodd = 1\n[[control]]\nname = \"c1\"\naddress = \"x\"\n"));
        assertEquals(2, control.code());
        assertTrue(control.err().contains("site.toml:3:1: bytes_per_second is 5, not 2000 to"), control.err());
        assertTrue(control.err().contains("site.toml:4:1: unknown key 'odd'"), control.err());
        assertTrue(control.err().contains("site.toml:7:1: address is 'x', not an IP address"), control.err());
        assertTrue(control.err().contains("folder is missing"), control.err());
        CommandResult follow = run(
                "serve",
                "--follow",
                file("[control]\nname = \"a b\"\nfolder = \"x\"\n" + "addresses = [\"127.0.0.1\"]\n"));
        assertEquals(2, follow.code());
        assertTrue(follow.err().contains("site.toml:2:1: name must be"), follow.err());
        assertTrue(follow.err().contains("site.toml:4:1: addresses holds '127.0.0.1'"), follow.err());
        assertEquals(2, run("serve", "--follow", "a", "--config", "b").code());
    }
}
