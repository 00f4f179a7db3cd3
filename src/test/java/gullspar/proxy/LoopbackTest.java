package gullspar.proxy;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;

/** Base of tests with a proxy between a scripted discovery and a scripted backend named by the known list. */
@Timeout(60)
abstract class LoopbackTest {
    Peer discovery;
    Peer backend;
    Setup setup;
    int server;

    @BeforeEach
    void start() throws Exception {
        discovery = new Peer();
        backend = new Peer();
        setup = new Setup().start(Setup.config(discovery, backend));
        server = setup.listedServer();
    }

    @AfterEach
    void close() throws Exception {
        setup.close();
        discovery.close();
        backend.close();
    }
}
