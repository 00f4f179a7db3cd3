package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.ConfigException;
import gullspar.proxy.io.Platform;
import gullspar.proxy.operator.OperatorEndpoint;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The operator endpoint, and configuration changes while a proxy serves. */
@Timeout(60)
class OperatorTest {
    @TempDir
    Path folder;

    private Peer discovery;
    private Peer backend;
    private Setup setup;
    private OperatorEndpoint endpoint;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws Exception {
        discovery = new Peer();
        backend = new Peer();
        setup = new Setup().start(Setup.config(discovery, backend));
        setup.loop
                .submit(() -> setup.proxy.onUpdate(new gullspar.proxy.discovery.ListUpdate(
                        gullspar.decide.Balancer.ListKind.DELTA, 42, List.of())))
                .get(20, TimeUnit.SECONDS);
        endpoint = new OperatorEndpoint(Platform.of(setup.loop));
        address = (InetSocketAddress) endpoint.listen(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel()
                .localAddress();
    }

    @AfterEach
    void end() throws Exception {
        setup.close();
        discovery.close();
        backend.close();
    }

    private String call(String text) throws Exception {
        try (Peer.Wire w = Peer.Wire.to(address)) {
            String answer = w.write(text).read();
            assertTrue(w.ended(), "the connection closes after one request");
            return answer;
        }
    }

    private JsonNode vars() throws Exception {
        String answer = call("GET /_vars HTTP/1.1\r\nHost: o\r\n\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        return new ObjectMapper().readTree(answer.substring(answer.indexOf("\r\n\r\n")));
    }

    private void setStatusSource() throws Exception {
        setup.runOnLoop(() -> endpoint.setStatusSource(setup.proxy));
    }

    private JsonNode json() {
        return Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000);
    }

    @Test
    void isNotReadyUntilItServes() throws Exception {
        assertTrue(call("GET /_ready HTTP/1.1\r\nHost: o\r\n\r\n").startsWith("HTTP/1.1 503"));
        assertTrue(call("GET /_vars HTTP/1.1\r\nHost: o\r\n\r\n").startsWith("HTTP/1.1 503"));
        setStatusSource();
        assertTrue(call("GET /_ready HTTP/1.1\r\nHost: o\r\n\r\n").startsWith("HTTP/1.1 200"));
        setup.proxy.drain();
        assertTrue(call("GET /_ready HTTP/1.1\r\nHost: o\r\n\r\n").startsWith("HTTP/1.1 503"));
    }

    @Test
    void invalidCallsAreRejected() throws Exception {
        setStatusSource();
        assertTrue(call("GET /_other HTTP/1.1\r\nHost: o\r\n\r\n").startsWith("HTTP/1.1 404"));
        assertTrue(call("POST /_ready HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n\r\n")
                .startsWith("HTTP/1.1 405"));
        assertTrue(call("\u0001\u0002 what\r\n\r\n").startsWith("HTTP/1.1 400"));
        assertTrue(call("GET /" + "x".repeat(2000) + " HTTP/1.1\r\n\r\n").startsWith("HTTP/1.1 400"));
    }

    @Test
    void silentCallersDoNotBlockOthers() throws Exception {
        setStatusSource();
        List<Peer.Wire> silent = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            silent.add(Peer.Wire.to(address).write(i % 2 == 0 ? "" : "GET /_rea"));
        }
        assertTrue(call("GET /_ready HTTP/1.1\r\nHost: o\r\n\r\n").startsWith("HTTP/1.1 200"));
        assertTrue(silent.get(0).ended(), "the oldest silent connection is closed");
        for (Peer.Wire w : silent) {
            w.close();
        }
    }

    @Test
    void requestsAreCountedByClassAndResult() throws Exception {
        setStatusSource();
        int server = setup.listedServer();
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest());
            Request r = setup.nextRequest();
            assertEquals(1, vars().path("pending").asInt());
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            Peer.Wire b = backend.accept();
            b.read();
            b.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            client.read();
            client.write(Setup.getRequest());
            Request refused = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.refuse(refused.ticket(), 0));
            client.read();
            client.write(Setup.getRequest());
            Request failed = setup.nextRequest();
            setup.runOnLoop(() -> setup.actions.fail(failed.ticket()));
            client.read();
        }
        JsonNode f = vars();
        assertEquals("{\"look\":1,\"order\":0,\"pay\":0}", f.path("completed").toString());
        assertEquals(1, f.at("/rejected/look").asInt());
        assertEquals(1, f.at("/failed/look").asInt());
        assertEquals(1, f.path("upstream_requests").asInt());
        assertEquals(0, f.path("pending").asInt());
        assertEquals(1, f.path("members").asInt());
        assertEquals(0, f.path("config_reloads").asInt());
    }

    @Test
    void reloadChangesClassesAndLowersMaxAttempts() throws Exception {
        setStatusSource();
        int server = setup.listedServer();
        ObjectNode next = (ObjectNode) json();
        ArrayNode profiles = (ArrayNode) next.at("/settings/profiles");
        profiles.remove(0);
        ObjectNode fresh = profiles.addObject();
        fresh.setAll((ObjectNode) profiles.get(1));
        fresh.put("name", "gift");
        ((ObjectNode) next.at("/settings/limits")).put("max_attempts", 1);
        Config config = Config.parse(next, Map.of());
        try (Peer.Wire client = setup.client();
                Peer.Wire other = setup.client()) {
            client.write(Setup.getRequest());
            Request inProgress = setup.nextRequest();
            setup.runOnLoop(() -> setup.proxy.reload(config));
            // A request in progress keeps its class and its attempts.
            setup.runOnLoop(() -> setup.actions.send(inProgress.ticket(), server, 0));
            Peer.Wire broken = backend.accept();
            broken.read();
            broken.reset();
            assertEquals(Status.RESET, setup.nextOutcome().status());
            setup.runOnLoop(() -> setup.actions.send(inProgress.ticket(), server, 0));
            Peer.Wire b = backend.accept();
            b.read();
            b.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            assertTrue(client.read().startsWith("HTTP/1.1 200"));
            other.write(Setup.getRequest());
            assertTrue(other.read().startsWith("HTTP/1.1 404"), "the class was removed");
            other.write(Setup.getRequest()
                    .replace("GET /look", "POST /gift")
                    .replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n"));
            setup.nextOutcome();
            Request r = setup.nextRequest();
            assertEquals(3, r.profile(), "the index follows those of the first three classes");
            setup.advanceClock(20); // the connection is reused
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            b.read();
            b.reset();
            assertEquals(Status.RESET, setup.nextOutcome().status());
            setup.runOnLoop(() -> setup.actions.send(r.ticket(), server, 0));
            assertEquals(Status.MOOT, setup.nextOutcome().status(), "only one attempt is allowed");
            setup.runOnLoop(() -> setup.actions.fail(r.ticket()));
            other.read();
        }
        assertEquals(
                "{\"look\":1,\"order\":0,\"pay\":0,\"gift\":0}",
                vars().path("completed").toString());
        assertEquals(1, vars().path("config_reloads").asInt());
        setup.runOnLoop(() -> setup.proxy.onConfigurationRejected("it is empty"));
        assertEquals(1, vars().path("config_reload_errors").asInt());
    }

    @Test
    void varsReportEventLoopAndClassArchive() throws Exception {
        setStatusSource();
        JsonNode f = vars();
        assertEquals("none", f.path("class_archive").asText(), "this test's process was started without an archive");
        assertTrue(f.path("loop").path("turns").asLong() > 0, f.toString());
        assertTrue(
                f.path("loop").path("turns").asLong()
                        >= f.path("loop").path("empty_turns").asLong(),
                f.toString());
        assertTrue(f.path("loop").has("standstills"), f.toString());
    }

    private Path file() {
        return folder.resolve("config.json");
    }

    private Map<String, String> environment() {
        return Map.of("NODE_CONFIG", file().toString());
    }

    private JsonNode jsonWithout(String pointer) {
        JsonNode root = json();
        int slash = pointer.lastIndexOf('/');
        ((ObjectNode) root.at(pointer.substring(0, slash))).remove(pointer.substring(slash + 1));
        return root;
    }

    private boolean isAcceptedOnReload(String text) throws IOException {
        Files.writeString(file(), text);
        try {
            Config.reload(environment());
            return true;
        } catch (ConfigException e) {
            return false;
        }
    }

    @Test
    void brokenFileIsRejectedOnReload() throws Exception {
        String whole = json().toString();
        List<String> broken = new ArrayList<>(List.of("", "{", "{}"));
        for (int length = 400; length < whole.length(); length += 100) {
            broken.add(whole.substring(0, length)); // still being written
        }
        broken.add(whole.substring(0, whole.length() - 1));
        for (String key : List.of(
                "/discovery", "/settings/profiles", "/settings/profiles/0/name", "/settings/profiles/1/give_up_ns")) {
            broken.add(jsonWithout(key).toString());
        }
        for (String key : List.of(
                "/settings/limits/max_attempts",
                "/settings/profiles/0/promise_ns",
                "/settings/profiles/2/give_up_ns")) {
            for (int value : new int[] {0, -5}) {
                JsonNode root = json();
                int slash = key.lastIndexOf('/');
                ((ObjectNode) root.at(key.substring(0, slash))).put(key.substring(slash + 1), value);
                broken.add(root.toString());
            }
        }
        for (String text : broken) {
            assertFalse(isAcceptedOnReload(text), text);
        }
        assertTrue(isAcceptedOnReload(whole));
        assertNull(Config.read(environment()).operator());
    }

    /** A file without a setting that may be absent was rejected, and the move of discovery in it with it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/seed",
                "/known",
                "/limits/cores",
                "/limits/memory_mb",
                "/settings/limits/retry_after",
                "/settings/limits/cancelling",
                "/settings/tenants"
            })
    void settingThatStartDoesNotNeedMayGoOnReload(String pointer) throws Exception {
        String without = jsonWithout(pointer).toString();
        assertFalse(without.equals(json().toString()), "the setting was not there");
        Files.writeString(file(), without);
        Config.read(environment());
        assertTrue(isAcceptedOnReload(without));
    }
}
