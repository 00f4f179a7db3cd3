package kit;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Discovery's agent: answers a watch at once with the whole list, then tells changes, with an empty line every 2 s. */
public final class Agent {
    private final ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final List<Socket> watches = new ArrayList<>();
    private long generation = 1;

    public Agent() throws IOException {
        Kit.thread("agent", () -> {
            while (true) {
                Socket s = server.accept();
                Kit.thread("watch", () -> watch(s));
            }
        });
        Kit.thread("heartbeat", () -> {
            while (true) {
                Thread.sleep(2000);
                tell("\n");
            }
        });
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** One entry of the list. */
    public static String entry(String id, String address, String zone, int cell, String lifecycle, long startedAtMs) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"machineType\":\"mid-1c\",\"cell\":" + cell + ",\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMs + "}";
    }

    /** Adds or changes an entry and tells the watches. */
    public synchronized void put(String id, String entry) {
        entries.put(id, entry);
        generation++;
        tell("{\"generation\":" + generation + ",\"reset\":false,\"instances\":[" + entry + "]}\n");
    }

    /** Adds entries in one version. */
    public synchronized void putAll(List<String> added) {
        for (String e : added) {
            entries.put(e.split("\"")[3], e);
        }
        generation++;
        tell("{\"generation\":" + generation + ",\"reset\":false,\"instances\":[" + String.join(",", added) + "]}\n");
    }

    public synchronized String list() {
        return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":["
                + entries.values().stream().collect(Collectors.joining(",")) + "]}";
    }

    private synchronized void tell(String line) {
        for (Socket s : List.copyOf(watches)) {
            try {
                chunk(s.getOutputStream(), line);
            } catch (IOException e) {
                watches.remove(s);
            }
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    private void watch(Socket s) throws IOException {
        BufferedInputStream in = new BufferedInputStream(s.getInputStream());
        Http.Message request = Http.read(in);
        if (request == null) {
            s.close();
            return;
        }
        OutputStream out = s.getOutputStream();
        if (!request.line().contains("stream=1")) {
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + list().length() + "\r\n\r\n" + list())
                    .getBytes(StandardCharsets.US_ASCII));
            return;
        }
        synchronized (this) {
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            chunk(out, list() + "\n");
            watches.add(s);
        }
    }
}
