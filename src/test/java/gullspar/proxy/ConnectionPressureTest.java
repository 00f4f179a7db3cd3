package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.Request;
import gullspar.proxy.config.Config;
import gullspar.proxy.config.ConfigException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.Isolated;

/** More clients than descriptors: which connections are closed to make room, and that the log counts them. */
@Timeout(60)
@Isolated("output of other tests would be mixed into the captured log")
class ConnectionPressureTest {
    @Test
    void connectionsClosedToMakeRoomAreCountedInTheLog() throws Exception {
        PrintStream before = System.err;
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        List<Peer.Wire> clients = new ArrayList<>();
        try (Peer discovery = new Peer();
                Peer backend = new Peer();
                Setup setup = new Setup()) {
            System.setErr(new PrintStream(log, true));
            setup.start(sevenConnections(discovery, backend));
            for (int i = 0; i < 9; i++) {
                clients.add(setup.client());
            }
            assertTrue(clients.get(0).ended() && clients.get(1).ended());
            setup.proxy.drain().get(20, TimeUnit.SECONDS);
        } finally {
            System.setErr(before);
            for (Peer.Wire w : clients) {
                w.close();
            }
        }
        assertTrue(
                log.toString().contains("of 9 accepted, 0 closed at once; closed to make room: 2 with"),
                log.toString());
    }

    @Test
    void newClientsEvictIdleClientsNotEachOther() throws Exception {
        List<Peer.Wire> clients = new ArrayList<>();
        try (Peer discovery = new Peer();
                Peer backend = new Peer();
                Setup setup = new Setup().start(sevenConnections(discovery, backend))) {
            for (int i = 0; i < 7; i++) {
                clients.add(setup.client().write(Setup.getRequest()));
                Request r = setup.nextRequest();
                setup.runOnLoop(() -> setup.actions.fail(r.ticket()));
                assertTrue(clients.get(i).read().startsWith("HTTP/1.1 502 "));
            }
            setup.runOnLoop(
                    () -> { // both connect while the loop is blocked, and are accepted in one batch
                        try {
                            clients.add(setup.client());
                            clients.add(setup.client());
                        } catch (IOException e) {
                            throw new UncheckedIOException(e);
                        }
                    });
            assertTrue(clients.get(0).ended() && clients.get(1).ended());
            for (int i = 7; i < 9; i++) {
                clients.get(i).write(Setup.getRequest());
                Request r = setup.nextRequest();
                setup.runOnLoop(() -> setup.actions.fail(r.ticket()));
                assertTrue(clients.get(i).read().startsWith("HTTP/1.1 502 "));
            }
        } finally {
            for (Peer.Wire w : clients) {
                w.close();
            }
        }
    }

    /** 16 descriptors less a reserved quarter leave 12, and three fifths of these are for clients. */
    private static Config sevenConnections(Peer discovery, Peer backend) throws ConfigException {
        return Config.parse(Setup.json(discovery.hostPort(), backend.hostPort(), 16, 5000), Map.of());
    }
}
