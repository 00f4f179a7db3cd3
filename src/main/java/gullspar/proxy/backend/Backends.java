package gullspar.proxy.backend;

import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import gullspar.proxy.config.Config;
import gullspar.proxy.discovery.ListUpdate;
import gullspar.proxy.discovery.ListedBackend;
import gullspar.proxy.http.MemoryBudget;
import gullspar.proxy.http.Message;
import gullspar.proxy.io.Clock;
import gullspar.proxy.io.ConnectOperation;
import gullspar.proxy.io.DescriptorLimits;
import gullspar.proxy.io.Errors;
import gullspar.proxy.io.Log;
import gullspar.proxy.io.Platform;
import gullspar.proxy.io.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.util.NetUtil;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Sends attempts to backends and keeps idle connections. Every attempt ends exactly once, and none is retried
 * here.
 */
public final class Backends {
    /** Idle connections are closed this long before the backend closes them, so that no request meets a close. */
    private static final long KEEP_ALIVE_MARGIN_NS = 1_500_000_000L;
    /** Interval of closing expired idle connections. */
    private static final long SWEEP_INTERVAL_MS = 500;
    /** Interval of the log line on attempts without a whole response. */
    private static final long LOG_INTERVAL_MS = 10_000;

    private final EventLoop loop;
    private final Transport transport;
    private final Clock clock;
    private final Log log;
    private final DescriptorLimits.Share descriptors;
    private final MemoryBudget budget;
    private final long connectTimeoutNs;
    private final long keepAliveNs;
    private final long drainGraceNs;
    private final Map<Integer, Backend> backends = new HashMap<>();
    private final ResponseFailureLog failures = new ResponseFailureLog();
    private long writtenCount;
    private long unexpectedBytesCount;

    public Backends(Platform platform, DescriptorLimits.Share sockets, MemoryBudget budget, Config config) {
        this.budget = budget;
        this.transport = platform.transport();
        this.loop = platform.loop();
        this.clock = platform.clock();
        this.log = platform.log();
        this.descriptors = sockets;
        sockets.onFull(this::closeOneIdle);
        this.connectTimeoutNs = config.connectTimeoutNs();
        this.keepAliveNs = Math.max(config.keepAliveNs() / 2, config.keepAliveNs() - KEEP_ALIVE_MARGIN_NS);
        this.drainGraceNs = config.drainGraceNs();
        Runnable closeExpired = Errors.guarded(log, "closing expired connections failed", this::closeExpired);
        loop.scheduleAtFixedRate(closeExpired, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        Runnable logFailures = Errors.guarded(log, "the log of attempts failed", () -> failures.writeAndReset(log));
        loop.scheduleWithFixedDelay(logFailures, LOG_INTERVAL_MS, LOG_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    // ---- the list of backends ----

    /** Applies a list update; idle connections to backends that have left, moved or restarted are closed. */
    public void update(ListUpdate listUpdate) {
        long nowNs = clock.now();
        if (listUpdate.kind() != ListKind.DELTA) {
            Map<Integer, Backend> missing = new HashMap<>(backends);
            listUpdate.list().forEach(listed -> missing.remove(listed.server().id()));
            missing.values().forEach(backend -> backend.markGone(nowNs));
            backends.keySet().removeAll(missing.keySet());
        }
        for (ListedBackend listed : listUpdate.list()) {
            Backend backend = backends.computeIfAbsent(listed.server().id(), id -> new Backend());
            boolean hasMoved = listed.address() != null && !listed.address().equals(backend.address);
            if (hasMoved || listed.server().startedAtNs() > backend.bootNs) {
                backend.idle.onReplaced(); // its connections lead to a process that has ended
            }
            backend.address = hasMoved ? listed.address() : backend.address;
            backend.bootNs = listed.server().startedAtNs();
            if (listed.server().state() == State.READY) {
                backend.leftAtNs = 0;
            } else {
                backend.markLeft(nowNs);
            }
            if (listed.server().state() == State.GONE) {
                backend.markGone(nowNs);
                backends.remove(listed.server().id());
            }
        }
    }

    /** Number of listed backends, including draining ones. */
    public int listedCount() {
        return backends.size();
    }

    /** Number of attempts whose last byte was written. */
    public long writtenCount() {
        return writtenCount;
    }

    /** How often backends sent bytes that belong to no response. */
    public long unexpectedBytesCount() {
        return unexpectedBytesCount;
    }

    // ---- idle connections ----

    /** Closes the idle connections of a backend; id is its number in the list. */
    public void closeIdleConnections(int id) {
        Backend backend = backends.get(id);
        if (backend != null) {
            backend.idle.closeAll();
        }
    }

    /** Closes the connection that has been idle longest; false if there is none. */
    private boolean closeOneIdle() {
        Backend oldest = null;
        for (Backend backend : backends.values()) {
            if (backend.idle.size() > 0
                    && (oldest == null
                            || backend.idle.oldest().idleSinceNs()
                                    < oldest.idle.oldest().idleSinceNs())) {
                oldest = backend;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldest.idle.closeOldest();
        return true;
    }

    private void closeExpired() {
        backends.values().forEach(backend -> backend.idle.closeExpired(clock.now(), keepAliveNs));
    }

    /**
     * Takes an idle connection; returns null if none is usable. A repeatable request gets the longest idle one: if the
     * backend closed it after its last response, or sent surplus bytes, the proxy has noticed by now. Any other
     * request gets the most recently used one: a backend that closes idle connections early closes that one last.
     */
    private Connection takeIdle(Backend backend, boolean isRepeatable) {
        // Not left to the timer: after a standstill a connection might be used that the backend is about to close.
        backend.idle.closeExpired(clock.now(), keepAliveNs);
        return backend.idle.take(clock.now(), isRepeatable);
    }

    private void onUnexpectedBytes(Backend backend) {
        unexpectedBytesCount++;
        if (backend.idle.onUnexpectedBytes(clock.now())) {
            log.write("the backend at " + NetUtil.toSocketAddressString(backend.address)
                    + " sent bytes that belong to no response: one request a connection for "
                    + TimeUnit.NANOSECONDS.toSeconds(IdleConnections.SINGLE_USE_NS) + " s");
        }
    }

    // ---- attempts ----

    /**
     * Starts an attempt; it ends after this call returns.
     *
     * @param server the backend's number in the list
     * @param sendWithinNs the attempt is not sent later than this; Long.MAX_VALUE for no limit
     * @param isRepeatable whether the request may run twice
     */
    public Attempt send(
            int server,
            Message request,
            long timeoutNs,
            long sendWithinNs,
            boolean isRepeatable,
            Attempt.Listener listener) {
        Attempt attempt = new Attempt(
                backends.get(server), request, loop, clock, timeoutNs, sendWithinNs, listener, () -> writtenCount++);
        if (attempt.backend() == null || !attempt.checkNeeded()) {
            loop.execute(() -> attempt.end(Status.MOOT, null, null)); // the backend or the client has gone
            return attempt;
        }
        if (request.bodyStream() == null) {
            attempt.startTimer();
        }
        Connection idle = takeIdle(attempt.backend(), isRepeatable);
        if (idle != null) {
            idle.start(attempt);
        } else if (descriptors.tryAcquire()) {
            connect(attempt);
        } else {
            loop.execute(() -> attempt.end(Status.MOOT, null, null)); // not the backend's fault
        }
        return attempt;
    }

    private void connect(Attempt attempt) {
        Connection connection =
                new Connection(attempt.backend(), loop, clock, drainGraceNs, budget, this::onUnexpectedBytes, failures);
        Bootstrap bootstrap = transport
                .clientBootstrap(attempt.backend().address)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutNs / 1_000_000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connection.initPipeline(channel);
                    }
                });
        ConnectOperation operation = ConnectOperation.start(bootstrap, loop, new ConnectOperation.Listener() {
            /** Runs after the reads of this turn, so that a client's disconnect or a drain takes effect first. */
            @Override
            public void onConnected() {
                attempt.checkNeeded();
                connection.start(attempt);
            }

            @Override
            public void onFailed(ConnectOperation.Failure failure) {
                // A shortage on this machine is not the backend's fault.
                attempt.end(failure.isLocal() ? Status.MOOT : Status.CONNECT_FAILED, null, null);
            }

            @Override
            public void onReleased() {
                descriptors.release();
            }
        });
        connection.setChannel(operation.channel());
        attempt.setConnection(connection);
    }
}
