package gullspar.versions.net;

import gullspar.proxy.Peer.Wire;
import gullspar.versions.Message;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Runs control processes and proxies as real processes, with their folders, for a test. */
public final class Processes implements AutoCloseable {
    private static final int TIMEOUT_S = 30;

    /** One process, which can be restarted under the same name. */
    public final class ManagedProcess {
        public final String name;
        private final List<String> arguments;
        private Process process;
        private BlockingQueue<String> log;

        private ManagedProcess(String name, List<String> arguments) {
            this.name = name;
            this.arguments = arguments;
        }

        public ManagedProcess start() throws IOException {
            List<String> line = new ArrayList<>(List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xmx64m",
                    "-cp",
                    System.getProperty("java.class.path"),
                    "gullspar.Main"));
            line.addAll(arguments);
            process = new ProcessBuilder(line).start();
            BlockingQueue<String> lines = new LinkedBlockingQueue<>();
            log = lines;
            BufferedReader r = process.errorReader();
            Thread t = new Thread(() -> {
                try {
                    for (String l = r.readLine(); l != null; l = r.readLine()) {
                        lines.add(l);
                    }
                } catch (IOException e) {
                    lines.add("(log lost: " + e + ")");
                }
                lines.add("(ended)");
            });
            t.setDaemon(true);
            t.start();
            return this;
        }

        /** Waits for a log line that contains the text. */
        public String awaitLog(String part) throws InterruptedException {
            List<String> all = new ArrayList<>();
            String line = log.poll(TIMEOUT_S, TimeUnit.SECONDS);
            while (line != null && !line.contains(part) && !line.equals("(ended)")) {
                all.add(line);
                line = log.poll(TIMEOUT_S, TimeUnit.SECONDS);
            }
            if (line == null || !line.contains(part)) {
                throw new AssertionError(name + " did not log '" + part + "' but " + all);
            }
            return line;
        }

        /** Ends the process like kill -9. */
        public void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
        }

        public long pid() {
            return process.pid();
        }

        public Path folder() {
            return folder.resolve(name);
        }

        /** Copies the folder as a backup. */
        public void backUp() throws IOException {
            copy(folder(), folder.resolve(name + ".backup"));
        }

        /** Replaces the content of the folder by the backup. */
        public void restoreBackup() throws IOException {
            for (String f : List.of("current", "previous", "next")) {
                Files.deleteIfExists(folder().resolve(f));
            }
            copy(folder.resolve(name + ".backup"), folder());
        }
    }

    private final Path folder;
    private final Map<String, Integer> ports = new LinkedHashMap<>();
    private final List<ManagedProcess> all = new ArrayList<>();

    public Processes(Path folder) {
        this.folder = folder;
    }

    private static void copy(Path from, Path to) throws IOException {
        Files.createDirectories(to);
        try (Stream<Path> files = Files.list(from)) {
            files.filter(f -> !f.getFileName().toString().equals("lock")).forEach(f -> {
                try {
                    Files.copy(f, to.resolve(f.getFileName()), StandardCopyOption.REPLACE_EXISTING);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        }
    }

    /** Assigns a port to each control process; the first is the primary. */
    public void controls(String... names) throws IOException {
        List<ServerSocket> free = new ArrayList<>();
        for (String n : names) {
            free.add(new ServerSocket(0));
            ports.put(n, free.get(free.size() - 1).getLocalPort());
        }
        for (ServerSocket s : free) {
            s.close();
        }
    }

    /** The address of a control process. */
    public InetSocketAddress at(String control) {
        return new InetSocketAddress("127.0.0.1", ports.get(control));
    }

    private String hostPort(String control) {
        return "127.0.0.1:" + ports.get(control);
    }

    /** Writes the configuration file of a control process. */
    public ManagedProcess control(String name, String primary, String more) throws IOException {
        StringBuilder s = new StringBuilder("name = \"" + name + "\"\nprimary = \"" + primary + "\"\nfolder = \""
                + folder.resolve(name) + "\"\n" + more);
        ports.forEach((n, p) -> s.append("[[control]]\nname = \"")
                .append(n)
                .append("\"\naddress = \"")
                .append(hostPort(n))
                .append("\"\n"));
        Path file = Files.writeString(folder.resolve(name + ".toml"), s);
        return add(new ManagedProcess(name, List.of("control", "--config", file.toString())));
    }

    /** Writes the configuration file of a proxy. */
    public ManagedProcess proxy(String name) throws IOException {
        List<String> addresses =
                ports.keySet().stream().map(n -> "\"" + hostPort(n) + "\"").toList();
        Path file = Files.writeString(
                folder.resolve(name + ".toml"),
                "[control]\nname = \"" + name + "\"\nfolder = \"" + folder.resolve(name) + "\"\naddresses = "
                        + addresses + "\n");
        return add(new ManagedProcess(name, List.of("serve", "--follow", file.toString())));
    }

    private ManagedProcess add(ManagedProcess process) {
        all.add(process);
        return process;
    }

    /** Waits until a control process reports that all of that many followers run the version or a later one. */
    public void awaitInForce(String control, long number, int followers) throws Exception {
        Message.StatusResponse last = null;
        for (long end = System.nanoTime() + TIMEOUT_S * 1_000_000_000L; System.nanoTime() < end; ) {
            try (ControlClient c = new ControlClient(at(control), 5000)) {
                last = c.request(new Message.StatusRequest(true), Message.StatusResponse.class);
                if (last.states().stream()
                                .filter(r -> r.number() >= number && r.awayMs() == 0)
                                .count()
                        >= followers) {
                    return;
                }
            } catch (IOException e) {
                last = null; // the process is still starting
            }
            Thread.sleep(30);
        }
        throw new AssertionError("version " + number + " is not in force at " + followers + ": " + last);
    }

    /** The response of the proxy on that port. */
    public static String get(int port) throws IOException {
        try (Wire c = Wire.to(new InetSocketAddress("127.0.0.1", port))
                .write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")) {
            return c.read();
        }
    }

    /** The port in the log line of a proxy that has started to listen. */
    public static int port(String listening) {
        return Integer.parseInt(listening.substring(listening.lastIndexOf(':') + 1));
    }

    /** A document that makes proxies respond with the word. */
    public static String document(String word) {
        return "[[listener]]\naddress = \"127.0.0.1:0\"\n[[host]]\ndefault = true\n[[host.route]]\n"
                + "path = \"/\"\nanswer = { status = 200, body = \"" + word + "\" }\n";
    }

    @Override
    public void close() {
        all.forEach(o -> {
            if (o.process != null) {
                o.process.destroyForcibly();
            }
        });
    }
}
