import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What the cases of this review share: a record of what happened, and stand-ins for discovery, backends and clients,
 * all on 127.0.0.1 and on the real clock. A case calls {@link #run}, which ends everything that it started.
 */
final class Stand {
    /** The result of a case. */
    enum Result {
        HELD,
        BROKEN
    }

    /** A case. */
    interface Case {
        Result run(Stand stand) throws Exception;
    }

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int BACKLOG = 1024;
    private static final long LIMIT_MS = 110_000;

    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final Path folder;
    private final PrintWriter record;
    private final long startNs = System.nanoTime();
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final List<AutoCloseable> servers = new CopyOnWriteArrayList<>();

    private Stand(Path recordFile) throws IOException {
        folder = Files.createTempDirectory("gullspar-review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
    }

    /** Runs a case and exits: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void run(String recordFile, Case test) {
        int code = 2;
        try {
            Stand stand = new Stand(Path.of(recordFile));
            Thread hook = new Thread(() -> {
                stand.log("the case could not run: it was ended by a signal");
                stand.end();
                Runtime.getRuntime().halt(2);
            });
            Runtime.getRuntime().addShutdownHook(hook);
            stand.daemon(stand::endAtLimit);
            try {
                stand.log("disruption: " + (stand.trouble ? "yes" : "no (TROUBLE=0)"));
                Result result = test.run(stand);
                code = result == Result.BROKEN ? 1 : 0;
                stand.log("result: " + (code == 1 ? "the rule was broken" : "the rule held"));
            } catch (Throwable e) {
                stand.log("the case could not run: " + e);
                e.printStackTrace();
            }
            stand.end();
        } catch (IOException e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }

    private void endAtLimit() {
        sleep(LIMIT_MS);
        log("the case could not run: it takes too long");
        end();
        Runtime.getRuntime().halt(2);
    }

    private synchronized void end() {
        for (Process p : processes) {
            p.descendants().forEach(ProcessHandle::destroyForcibly);
            p.destroyForcibly();
        }
        for (AutoCloseable s : servers) {
            try {
                s.close();
            } catch (Exception e) {
                // it is closed already
            }
        }
        record.flush();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            // the temporary folder has gone already
        }
    }

    /** Seconds since the start of the case. */
    double now() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    /** Adds a line to the record and to standard output. */
    synchronized void log(String line) {
        String text = String.format(Locale.ROOT, "%8.3f %s", now(), line);
        record.println(text);
        record.flush();
        System.out.println(text);
    }

    private void logIf(boolean isLogged, String line) {
        if (isLogged) {
            log(line);
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void daemon(Runnable task) {
        Thread t = new Thread(task);
        t.setDaemon(true);
        t.start();
    }

    private ServerSocket listen() throws IOException {
        ServerSocket s = new ServerSocket();
        s.setReuseAddress(true);
        s.bind(new InetSocketAddress(LOOPBACK, 0), BACKLOG);
        servers.add(s);
        return s;
    }

    /** A port that is free now. */
    static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket()) {
            s.setReuseAddress(true);
            s.bind(new InetSocketAddress(LOOPBACK, 0));
            return s.getLocalPort();
        }
    }

    private static void closeQuietly(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            // it is closed already
        }
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    // ---- messages ----

    /** A request or an answer as it was read. */
    static final class Message {
        String line;
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = {};

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the connection ended");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static byte[] readBytes(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection ended in a body");
        }
        return bytes;
    }

    /** Reads a whole message; throws an IOException if its connection ends first. */
    static Message read(InputStream in) throws IOException {
        Message m = readHead(in);
        if (m.field("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                all.write(readBytes(in, size));
                readLine(in);
            }
            while (!readLine(in).isEmpty()) {
                // trailers are not used
            }
            m.body = all.toByteArray();
        } else if (!m.field("Content-Length").isEmpty()) {
            m.body = readBytes(in, Integer.parseInt(m.field("Content-Length")));
        }
        return m;
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
    }

    static Message readHead(InputStream in) throws IOException {
        Message m = new Message();
        m.line = readLine(in);
        for (String l = readLine(in); !l.isEmpty(); l = readLine(in)) {
            int colon = l.indexOf(':');
            m.fields.put(l.substring(0, Math.max(0, colon)), l.substring(colon + 1).trim());
        }
        return m;
    }

    // ---- discovery ----

    /** A backend's entry in a list. */
    static String entry(String id, int port, String zone, String lifecycle) {
        return String.format(
                "{\"instanceId\":\"%s\",\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"machineType\":\"mid-1c\","
                        + "\"cell\":0,\"lifecycle\":\"%s\",\"weight\":1.0,\"startedAtMs\":0}",
                id, port, zone, lifecycle);
    }

    static String list(long generation, boolean whole, List<String> entries) {
        return "{\"generation\":" + generation + ",\"reset\":" + whole + ",\"instances\":["
                + String.join(",", entries) + "]}";
    }

    /** Stands in for discovery: each watch gets the whole list at first, then the changes, and a line every 2 s. */
    final class Discovery {
        private static final long BEAT_MS = 2000;
        private static final long RETIRE_MS = 1500;

        final int port;
        private final ServerSocket server;
        private final List<Socket> open = new CopyOnWriteArrayList<>();
        /** How long a call waits for its turn before it is answered. */
        volatile long callDelayMs;

        /** Whether it says nothing, on open watches and on new ones. */
        volatile boolean isSilent;

        private final List<String> whole = new ArrayList<>();
        private final List<String> changes = new ArrayList<>();
        private long generation = 1;
        /** When the last change could first be had. */
        volatile double changedAt;

        Discovery(List<String> entries) throws IOException {
            whole.addAll(entries);
            server = listen();
            port = server.getLocalPort();
            daemon(() -> acceptAll(server, this::serve));
        }

        /** Publishes one changed entry; whole is the list with it. */
        synchronized void change(String entry, List<String> newWhole) {
            generation++;
            changes.add(list(generation, false, List.of(entry)));
            whole.clear();
            whole.addAll(newWhole);
            changedAt = now();
            notifyAll();
        }

        private void serve(Socket s) throws IOException {
            open.add(s);
            Message call = readHead(s.getInputStream());
            log("discovery: call " + call.line);
            sleep(callDelayMs);
            awaitVoice();
            OutputStream out = new BufferedOutputStream(s.getOutputStream());
            String first;
            int seen;
            synchronized (this) {
                first = list(generation, true, whole);
                seen = changes.size();
            }
            write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            writeChunk(out, first + "\n");
            log("discovery: answered a call with the whole list");
            while (true) {
                String next = "";
                synchronized (this) {
                    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BEAT_MS);
                    long left = BEAT_MS;
                    while (seen == changes.size() && left > 0) {
                        try {
                            wait(left);
                        } catch (InterruptedException e) {
                            return;
                        }
                        left = TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime());
                    }
                    if (seen < changes.size()) {
                        next = changes.get(seen);
                        seen++;
                    }
                }
                awaitVoice();
                writeChunk(out, next + "\n");
                if (!next.isEmpty()) {
                    log("discovery: told " + next);
                }
            }
        }

        /** Takes no new connection from now on, and closes the open ones after 1.5 s. */
        void retire() throws IOException {
            server.close();
            daemon(() -> {
                sleep(RETIRE_MS);
                for (Socket s : open) {
                    closeQuietly(s);
                }
                log("discovery: the old address has closed its connections");
            });
        }

        private void awaitVoice() {
            while (isSilent) {
                sleep(5);
            }
        }

        private void writeChunk(OutputStream out, String text) throws IOException {
            write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
    }

    private interface Service {
        void serve(Socket s) throws IOException;
    }

    private void acceptAll(ServerSocket server, Service service) {
        while (!server.isClosed()) {
            try {
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                daemon(() -> {
                    try (s) {
                        service.serve(s);
                    } catch (IOException e) {
                        // the other side has closed
                    }
                });
            } catch (IOException e) {
                return; // the server was closed
            }
        }
    }

    // ---- backends ----

    /** A request that a backend has received whole, so that it has run. */
    record Run(double at, String backend, String request, String id, String key) {}

    /** Answers a request; returns whether the connection stays open. */
    interface Answerer {
        boolean answer(Backend backend, Message request, Socket s) throws IOException;
    }

    /** Everything that backends have run. */
    final List<Run> runs = new CopyOnWriteArrayList<>();

    /** Stands in for a backend. Unless a case answers otherwise, it serves each request after some work. */
    final class Backend {
        final String name;
        final int port;
        /** Whether each request that it runs is in the record. */
        volatile boolean isLogged = true;

        volatile Answerer answerer = (b, request, s) -> {
            sleep(10);
            write(s.getOutputStream(), b.served(request));
            return true;
        };

        Backend(String name) throws IOException {
            this.name = name;
            ServerSocket server = listen();
            port = server.getLocalPort();
            daemon(() -> acceptAll(server, this::serve));
        }

        private void serve(Socket s) throws IOException {
            boolean stays = true;
            while (stays) {
                Message request = read(s.getInputStream());
                Run run = new Run(
                        now(), name, request.line, request.field("Request-Id"), request.field("Idempotency-Key"));
                runs.add(run);
                logIf(isLogged, "backend " + name + ": runs " + run.request() + " id=" + run.id() + " key=" + run.key());
                stays = answerer.answer(this, request, s);
            }
        }

        /** The body that answers this request. */
        String bodyFor(Message request) {
            return "done " + request.field("Request-Id") + " by " + name + "\n";
        }

        String served(Message request) {
            String body = bodyFor(request);
            return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\nServer-Load: inflight=1,util=0.1\r\n\r\n"
                    + body;
        }

        String entry(String zone, String lifecycle) {
            return Stand.entry(name, port, zone, lifecycle);
        }
    }

    // ---- the proxy ----

    /** The settings of a deployment like frontera-preorders; a case changes them by replacing parts of the text. */
    static String frontera(int discoveryPort) {
        return """
            {"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:@DISCOVERY@","seed":"8c1f30d27a5be964",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
             "known":@KNOWN@,
             "settings":{"me":0,"balancers":3,"zone":0,"step_ns":5000000,"family":"proxy",
              "zones":["chuy","rivera","melo"],"skus":["fast-1c","mid-1c","slow-1c"],"tenants":[],
              "discovery":"pushed","weights":"live","clients":{"marks_retry":true},
              "report":{"how":"piggyback","columns":["utilization","outstanding","errors_per_s"]},
              "profiles":[
               {"name":"stock-check","effect":"idempotent","dedup_scope":"all","window_ns":5000000000,
                "promise_ns":250000000,"give_up_ns":600000000,"worth":5.0,"late_share":0.0,"streamed":false},
               {"name":"place-order","effect":"deduplicated","dedup_scope":"zone","window_ns":1200000000,
                "promise_ns":400000000,"give_up_ns":1200000000,"worth":10.0,"late_share":0.0,"streamed":false}],
              "limits":{"cancelling":true,"max_attempts":5,"retry_after":true,"max_retry_after_ns":1200000000,
               "connect_timeout_ns":120000000,"keepalive_ns":15000000000,"may_duplicate":true,"multiplex":1,
               "max_open":20000,"probing":false,"peer_messages":false},
              "prices":{"cross_zone":0.01},
              "rules":{"start_capacity":0.31,"cold_ns":8800000000,"tip_multiple":3.0,"fall_ns":1500000000,
               "drain_grace_ns":500000000,"grace_to_answer_ns":20000000,"ask_within_ns":10000000000}}}
            """
                .replace("@DISCOVERY@", String.valueOf(discoveryPort))
                .replace("@KNOWN@", list(0, true, List.of()));
    }

    /** A proxy, started by the deploy file's command. */
    final class Proxy {
        final int port;
        final Process process;
        private final Path file;

        /** Starts it and waits until it is ready. */
        Proxy(String config, int discoveryPort) throws Exception {
            port = freePort();
            file = folder.resolve("config-" + port + ".json");
            Files.writeString(file, withAddress(config));
            Path tmp = Files.createDirectory(folder.resolve("tmp-" + port));
            ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"));
            b.environment().put("NODE_NAME", "n0");
            b.environment().put("NODE_LISTEN", "127.0.0.1:" + port);
            b.environment().put("NODE_DISCOVERY", "127.0.0.1:" + discoveryPort);
            b.environment().put("NODE_CONFIG", file.toString());
            b.environment().put("TMPDIR", tmp.toString());
            b.redirectErrorStream(true);
            process = b.start();
            processes.add(process);
            daemon(() -> {
                try (var lines = process.inputReader()) {
                    lines.lines().forEach(l -> log("proxy: " + l));
                } catch (IOException e) {
                    // it has ended
                }
            });
            awaitReady();
        }

        private String withAddress(String config) {
            return config.replace("\"listen\":\"127.0.0.1:1\"", "\"listen\":\"127.0.0.1:" + port + "\"");
        }

        /** Replaces its configuration at once and sends it SIGHUP. */
        void reconfigure(String config) throws Exception {
            Path next = folder.resolve("next-" + port + ".json");
            Files.writeString(next, withAddress(config));
            Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
            log("a new configuration, SIGHUP");
            signal("HUP");
        }

        void signal(String name) throws Exception {
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
        }

        private void awaitReady() {
            double until = now() + 30;
            while (now() < until) {
                if (!process.isAlive()) {
                    throw new IllegalStateException("the proxy has ended: " + process.exitValue());
                }
                try (Client c = new Client(port, 1000)) {
                    write(c.socket.getOutputStream(), "GET /_health HTTP/1.1\r\nHost: api.internal\r\n\r\n");
                    if (read(c.socket.getInputStream()).status() == 200) {
                        log("the proxy is ready");
                        return;
                    }
                } catch (IOException e) {
                    // not yet
                }
                sleep(100);
            }
            throw new IllegalStateException("the proxy was not ready within 30 s");
        }
    }

    private static String deployCommand(String name) throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith(name + " = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml names no " + name);
    }

    // ---- clients ----

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();

        Client(int port, int readTimeoutMs) throws IOException {
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(readTimeoutMs);
        }

        /** Sends a request and reads its whole answer. */
        Message ask(String request) throws IOException {
            write(socket.getOutputStream(), request);
            return read(socket.getInputStream());
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** What a client saw of a request: the status of a whole answer, or 0 and why there is none. */
    record Seen(int status, String body, String problem) {}

    /** Sends a request on a new connection and logs what the client sees. */
    Seen ask(int port, String id, String request, int waitMs) {
        Seen seen;
        try (Client c = new Client(port, waitMs)) {
            Message m = c.ask(request);
            seen = new Seen(m.status(), m.text(), "");
        } catch (SocketTimeoutException e) {
            seen = new Seen(0, "", "no whole answer within " + waitMs + " ms");
        } catch (IOException e) {
            seen = new Seen(0, "", e.toString());
        }
        log("client: " + id + " -> " + (seen.status() == 0 ? seen.problem() : seen.status() + " " + seen.body().trim()));
        return seen;
    }

    static String get(String id, double timeoutS) {
        return String.format(
                Locale.ROOT,
                "GET /stock-check?shop=1 HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %s\r\n"
                        + "Cookie: sid=%s\r\nRequest-Timeout: %.3f\r\n\r\n",
                id, id, timeoutS);
    }

    static String order(String id, String key, double timeoutS) {
        return String.format(
                Locale.ROOT,
                "POST /place-order HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %s\r\nIdempotency-Key: %s\r\n"
                        + "Cookie: sid=%s\r\nRequest-Timeout: %.3f\r\nContent-Length: 4\r\n\r\nbuy\n",
                id, key, key, timeoutS);
    }
}
