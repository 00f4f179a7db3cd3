package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.rehearse.faults.ErrorNumber;
import gullspar.rehearse.faults.SystemCall;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.ResourceLock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A real proxy process during and after failures of system calls. */
@Timeout(120)
@ResourceLock("much of the machine")
class SystemCallFaultsTest {
    private static final int REQUESTS = 40;

    /** The default capacity of a pipe. */
    private static final int PIPE_BYTES = 64 << 10;

    /** Longer than a start takes until it tries to listen. */
    private static final long STARTUP_FAILURE_MS = 1500;

    @TempDir
    Path folder;

    private FaultyProxy proxy;

    @BeforeEach
    void prepare() throws Exception {
        proxy = new FaultyProxy(folder);
    }

    @AfterEach
    void end() throws Exception {
        proxy.close();
    }

    @ParameterizedTest
    @EnumSource(names = {"ENOBUFS", "EMFILE"})
    void recoversFromSocketFailures(ErrorNumber error) throws Exception {
        proxy.start().awaitReady();
        proxy.faults.failAll(SystemCall.SOCKET, error);
        for (int i = 0; i < REQUESTS; i++) {
            assertTrue(proxy.sendRequest() != 200, "a backend was reached without a socket");
        }
        proxy.awaitMetric("descriptors_backends", 0);
        proxy.faults.restore(SystemCall.SOCKET);
        proxy.awaitServing(20);
    }

    @ParameterizedTest
    @EnumSource(names = {"ENOBUFS", "EACCES"})
    void recoversFromConnectFailures(ErrorNumber error) throws Exception {
        proxy.start().awaitReady();
        proxy.faults.failAll(SystemCall.CONNECT, error);
        for (int i = 0; i < REQUESTS; i++) {
            proxy.sendRequest();
        }
        proxy.awaitMetric("descriptors_backends", 0);
        proxy.faults.restore(SystemCall.CONNECT);
        proxy.awaitServing(20);
    }

    @ParameterizedTest
    @EnumSource(names = {"ENOBUFS", "EMFILE"})
    void everyClientIsAcceptedWhileOneAcceptInThreeFails(ErrorNumber error) throws Exception {
        proxy.start().awaitReady();
        proxy.awaitServing(1);
        proxy.faults.failOneIn(3, SystemCall.ACCEPT, error);
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(200, proxy.sendRequest(), proxy::logText);
        }
        proxy.assertCleanExit();
    }

    @Test
    void servesAndExitsWhileItsLogPipeIsFull() throws Exception {
        Path pipe = folder.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        try (RandomAccessFile bothEnds = new RandomAccessFile(pipe.toFile(), "rw")) {
            bothEnds.write(new byte[PIPE_BYTES]);
            proxy.start(ProcessBuilder.Redirect.appendTo(pipe.toFile()));
            proxy.awaitServing(5);
            proxy.assertCleanExit();
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"EIO", "ENOSPC", "EPIPE"})
    void servesAndExitsWhileItsLogCannotBeWritten(ErrorNumber error) throws Exception {
        proxy.faults.failAll(SystemCall.WRITE_LOG, error);
        proxy.start();
        proxy.awaitServing(5);
        proxy.assertCleanExit();
    }

    @ParameterizedTest
    @EnumSource(names = {"SOCKET", "BIND", "LISTEN"})
    void startsAfterInitialListenFailures(SystemCall call) throws Exception {
        proxy.faults.failAll(call, ErrorNumber.ENOBUFS);
        proxy.start().awaitLine("configured: ");
        TimeUnit.MILLISECONDS.sleep(STARTUP_FAILURE_MS);
        proxy.faults.restore(call);
        proxy.awaitReady().awaitServing(1);
    }

    @Test
    void partlyWrittenConfigurationIsReadAgain() throws Exception {
        proxy.start().awaitReady();
        Path file = folder.resolve("config.json");
        String whole = Files.readString(file);
        Files.writeString(file, whole.substring(0, whole.length() / 2));
        proxy.signal("HUP");
        proxy.awaitLine("cannot be read yet");
        Files.writeString(file, whole);
        proxy.awaitLine("a new configuration: ");
    }
}
