package gullspar.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.Json;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A real proxy process: deploy/serve.sh if the program was built, else this Java runtime with the classes of this
 * run.
 */
record RealProxy(ChildProcess child, InetSocketAddress listen, InetSocketAddress operator, Path config) {
    /** Set by bench/scale/run.sh, which builds the program. */
    static final boolean DEPLOYED = Boolean.getBoolean("gullspar.scale.deployed");

    static RealProxy start(ChildProcesses children, int number, ObjectNode json, int expectedMb)
            throws ScaleException, IOException {
        Path config = Files.writeString(children.folder().resolve("real" + number + ".json"), json.toString());
        List<String> command =
                DEPLOYED ? List.of("sh", "deploy/serve.sh") : ChildProcess.javaCommand(64, "gullspar.Main", "serve");
        ChildProcess c = children.start(
                "real proxy " + number,
                expectedMb,
                command,
                Map.of("NODE_CONFIG", config.toString(), "NODE_NAME", "p" + number));
        return new RealProxy(
                c,
                Config.parseAddress(json.get("listen").asText()),
                Config.parseAddress(json.get("operator").asText()),
                config);
    }

    /** Returns how many backends the proxy lists, from its operators' port. */
    int listedBackends() throws IOException {
        try (Socket s = new Socket(operator.getAddress(), operator.getPort())) {
            s.setSoTimeout(5000);
            s.getOutputStream().write("GET /_vars HTTP/1.1\r\nHost: o\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            byte[] all = s.getInputStream().readAllBytes();
            String text = new String(all, StandardCharsets.US_ASCII);
            return Json.read(text.substring(text.indexOf("\r\n\r\n") + 4).getBytes(StandardCharsets.US_ASCII))
                    .path("members")
                    .asInt();
        }
    }

    /** Returns the heap in use after a collection, in bytes, read with jcmd. */
    long heapBytes() throws IOException {
        jcmd("GC.run");
        long kb = 0;
        for (String line : jcmd("GC.heap_info")) {
            if (line.contains("generation") && line.contains("used")) {
                kb += Long.parseLong(line.replaceAll(".*used (\\d+)K.*", "$1"));
            }
        }
        return kb << 10;
    }

    private List<String> jcmd(String command) throws IOException {
        Process p = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                        Long.toString(child.pid()),
                        command)
                .redirectErrorStream(true)
                .start();
        try (BufferedReader r = p.inputReader()) {
            return r.lines().toList();
        }
    }
}
