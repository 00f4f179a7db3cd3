package gullspar.versions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Keeps a process up to date with the document: connects to one of several control processes, verifies updates,
 * has them persisted and put in force, and acknowledges them. It never accepts a version that is lower than, or a
 * fork of, one it has had. Every proxy is a follower, and so is every control process except the primary.
 */
public final class Follower {
    /** Operations the follower delegates; none may call back into the follower before it returns. */
    public interface Host {
        /** Connects to the control process at that index of the address list. */
        void connect(int controlIndex);

        /** Closes the connection or cancels the attempt. {@link Follower#closed} is not called for this. */
        void disconnect();

        void send(Message m);

        /**
         * Persists the document unless it already is, and puts it in force; then calls
         * {@link Follower#applied}. deltas: lead from the previous document to this one; empty if it came
         * as a snapshot.
         */
        void apply(Document d, List<Delta> deltas, boolean persisted);

        /** Writes a line to the log. */
        void log(String line);
    }

    /**
     * Time limits in ns.
     *
     * @param startupWaitNs how long a start waits for control before the version on disk is put in force
     * @param outdatedTimeoutNs a control process that is out of step for this long is left for another one
     * @param silenceTimeoutNs a connection with nothing received for this long is abandoned
     * @param initialBackoffNs the first reconnect delay is drawn from 0 to this; the bound doubles with each failure
     * @param maxBackoffNs upper limit of that bound
     * @param applyRetryNs delay before a document that could not be persisted or put in force is tried again
     */
    public record Settings(
            long startupWaitNs,
            long outdatedTimeoutNs,
            long silenceTimeoutNs,
            long initialBackoffNs,
            long maxBackoffNs,
            long applyRetryNs) {
        private static final long NS_PER_MS = 1_000_000L;
        public static final Settings DEFAULTS = new Settings(
                3000 * NS_PER_MS,
                3000 * NS_PER_MS,
                3500 * NS_PER_MS,
                500 * NS_PER_MS,
                8000 * NS_PER_MS,
                10_000 * NS_PER_MS);
    }

    private enum Connection {
        NONE,
        CONNECTING,
        OPEN
    }

    private static final long NEVER = Long.MAX_VALUE;
    private static final long ACK_INTERVAL_NS = 2_000_000_000L;
    /** An abandoned control process does not count as an alternative for this long. */
    private static final long ABANDONED_PERIOD_NS = 300_000_000_000L;

    /** Upper limit of the reconnect bound while a start waits: control may be back at any time of the wait. */
    private static final long STARTUP_MAX_BACKOFF_NS = 1_000_000_000L;

    /** Limits the exponent of the reconnect backoff, so that it does not overflow. */
    private static final int MAX_DOUBLINGS = 10;

    private final String name;
    private final Message.Role role;
    private final Settings settings;
    private final int addressCount;
    private final RandomGenerator random;
    private final Host host;
    /** When each control process was last abandoned; MIN_VALUE if never. */
    private final long[] abandonedAtNs;

    private Connection connection = Connection.NONE;
    private int controlIndex;
    private long reconnectAtNs;
    private int failures;
    private long lastReceivedNs;
    private long lastAckNs;
    private boolean snapshotRequested;
    /** The follower has had the version that control announced on this connection, or has it by now. */
    private boolean caughtUp;

    private Version announced;
    private long startedAtNs;
    /** When the control process was first seen out of step with the primary or behind this follower. */
    private long outdatedSinceNs = NEVER;

    private Document held;
    /** Deltas from the document last applied to the held one; null if it came as a snapshot. */
    private List<Delta> pendingDeltas = List.of();

    private boolean persisted;
    private boolean mayBeOlder;
    /** The highest version announced by any control process. */
    private Version highestSeen;

    /** The held document may be put in force: control confirmed it, or the startup wait has passed. */
    private boolean mayApply;

    private boolean applying;
    private Version inForce;
    private String trouble = "";
    private long retryAtNs;

    /** addresses: number of control processes, in this follower's order of preference; 1 or more. */
    public Follower(
            String name, Message.Role role, Settings settings, int addresses, RandomGenerator random, Host host) {
        this.name = name;
        this.role = role;
        this.settings = settings;
        this.addressCount = addresses;
        this.random = random;
        this.host = host;
        this.abandonedAtNs = new long[addresses];
        Arrays.fill(abandonedAtNs, Long.MIN_VALUE);
    }

    /**
     * Starts following. stored: the document on disk, or null; mayBeOlder: the disk is known to have had a newer
     * one, which is damaged.
     */
    public void start(long now, Document stored, boolean mayBeOlder) {
        startedAtNs = now;
        held = stored;
        persisted = stored != null;
        this.mayBeOlder = mayBeOlder;
        connect();
    }

    private void connect() {
        connection = Connection.CONNECTING;
        host.connect(controlIndex);
    }

    // ---- connection events ----

    /** The connection is established. */
    public void opened(long now) {
        connection = Connection.OPEN;
        lastReceivedNs = now;
        outdatedSinceNs = NEVER;
        snapshotRequested = false;
        caughtUp = false;
        announced = null;
        host.send(new Message.Hello(name, role, held == null ? null : held.version()));
        sendAck(now);
    }

    /** The connection has ended or could not be established. */
    public void closed(long now, String reason) {
        if (connection == Connection.NONE) {
            return;
        }
        if (connection == Connection.OPEN) {
            host.log("lost connection to control " + controlIndex + ": " + reason);
        }
        scheduleReconnect(now);
    }

    /** Schedules a connection to the next address, after a random delay whose bound grows with each failure. */
    private void scheduleReconnect(long now) {
        connection = Connection.NONE;
        controlIndex = (controlIndex + 1) % addressCount;
        long longestNs = isWaitingToStart(now) ? STARTUP_MAX_BACKOFF_NS : settings.maxBackoffNs;
        long maxDelayNs = Math.min(longestNs, settings.initialBackoffNs << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        reconnectAtNs = now + (long) (random.nextDouble() * maxDelayNs);
    }

    /** Whether the stored document waits for the word of a control process. */
    private boolean isWaitingToStart(long now) {
        return !mayApply && held != null && now - startedAtNs < settings.startupWaitNs;
    }

    private void abandon(long now, String reason) {
        host.log("disconnecting from control " + controlIndex + ", trying the next one: " + reason);
        abandonedAtNs[controlIndex] = now;
        host.disconnect();
        scheduleReconnect(now);
    }

    /** A message has arrived from the control process. */
    public void received(long now, Message m) {
        lastReceivedNs = now;
        if (m instanceof Message.Head h) {
            onHead(now, h);
        } else if (m instanceof Message.Update u) {
            onUpdate(now, u);
        }
    }

    /** Part of a message has arrived. */
    public void partReceived(long now) {
        lastReceivedNs = now;
    }

    private void onHead(long now, Message.Head h) {
        failures = 0;
        if (h.head() != null && (highestSeen == null || h.head().comparePosition(highestSeen) > 0)) {
            highestSeen = h.head();
        }
        String outdatedReason = h.inStep() ? "" : h.control() + " is out of step with the primary";
        if (held != null && (h.head() == null || h.head().comparePosition(held.version()) < 0)) {
            outdatedReason = h.control() + " has " + (h.head() == null ? "no version" : "only " + h.head())
                    + ", this follower has " + held.version();
        } else if (held != null
                && h.head().comparePosition(held.version()) == 0
                && !h.head().equals(held.version())) {
            outdatedReason = forkMessage(h.control(), h.head());
            if (!outdatedReason.equals(trouble)) {
                trouble = outdatedReason;
                sendAck(now);
            }
        }
        announced = h.head();
        if (outdatedReason.isEmpty()) {
            outdatedSinceNs = NEVER;
            if (held != null && h.head() != null && held.version().equals(h.head())) {
                caughtUp = true;
                mayApply = true;
                mayBeOlder = false;
                if (held.version().equals(inForce) && !trouble.isEmpty()) {
                    trouble = "";
                    sendAck(now);
                }
            } else if (h.head() == null) {
                caughtUp = true; // no version has been published yet
            }
        } else if (outdatedSinceNs == NEVER) {
            outdatedSinceNs = now;
            host.log("control " + controlIndex + " may be outdated: " + outdatedReason);
        }
        applyIfReady(now);
    }

    private String forkMessage(String source, Version other) {
        return source + " has another version with the same number: " + other + ", this follower has " + held.version()
                + "; see 'forked' in docs/versions.md";
    }

    private void onUpdate(long now, Message.Update u) {
        if (held != null && u.to().comparePosition(held.version()) <= 0) {
            if (!u.to().equals(held.version())) {
                refuse(now, "control " + controlIndex + " sent " + u.to() + ", this follower has " + held.version());
            }
            return;
        }
        if (highestSeen == null || u.to().comparePosition(highestSeen) > 0) {
            highestSeen = u.to();
        }
        try {
            if (u.deltas().isEmpty()) {
                onSnapshot(now, u);
            } else if (held == null) {
                throw new MismatchException("received deltas but holds no version to apply them to");
            } else {
                Document d = Delta.apply(held, u.deltas());
                if (!d.version().equals(u.to())) {
                    throw new MismatchException("deltas lead to " + d.version() + ", expected " + u.to());
                }
                accept(now, d, u.deltas());
            }
        } catch (MismatchException e) {
            host.log("discarding update from control " + controlIndex + ": " + e.getMessage());
            if (snapshotRequested) {
                abandon(now, "its updates cannot be applied");
            } else {
                snapshotRequested = true;
                host.send(new Message.SnapshotRequest());
            }
        }
    }

    private void onSnapshot(long now, Message.Update u) throws MismatchException {
        Document d = Document.verified(u.to(), u.text());
        if (held != null && u.to().epoch() == held.version().epoch()) {
            boolean other = u.ancestor() != null && !u.ancestor().equals(held.version());
            boolean next = u.to().number() == held.version().number() + 1 && !u.to().follows(held.version());
            if (other || next) {
                refuse(now, forkMessage("control " + controlIndex, other ? u.ancestor() : u.to()));
                return;
            }
        }
        accept(now, d, null);
    }

    private void refuse(long now, String reason) {
        trouble = reason;
        sendAck(now);
        abandon(now, reason);
    }

    private void accept(long now, Document d, List<Delta> deltas) {
        held = d;
        persisted = false;
        mayBeOlder = false;
        snapshotRequested = false;
        if (deltas == null) {
            pendingDeltas = null;
        } else if (pendingDeltas != null) {
            List<Delta> all = new ArrayList<>(pendingDeltas);
            all.addAll(deltas);
            pendingDeltas = all;
        }
        retryAtNs = now;
        if (outdatedSinceNs == NEVER
                && (caughtUp || announced != null && d.version().comparePosition(announced) >= 0)) {
            caughtUp = true;
            mayApply = true;
        }
        applyIfReady(now);
    }

    // ---- applying documents ----

    private void applyIfReady(long now) {
        if (applying || !mayApply || held == null || held.version().equals(inForce) || now < retryAtNs) {
            return;
        }
        applying = true;
        List<Delta> deltas = pendingDeltas == null ? List.of() : pendingDeltas;
        pendingDeltas = List.of();
        host.apply(held, deltas, persisted);
    }

    /** The version is persisted and in force if failure is null; otherwise the previous one still is in force. */
    public void applied(long now, Version version, String failure) {
        applying = false;
        if (failure == null) {
            inForce = version;
            trouble = "";
        } else {
            trouble = failure;
            pendingDeltas = null; // a host with a history must restart it at the next document
            retryAtNs = now + settings.applyRetryNs;
            host.log("version " + version + " could not be put in force, will be retried: " + failure);
        }
        sendAck(now);
        applyIfReady(now);
    }

    private void sendAck(long now) {
        if (connection == Connection.OPEN) {
            lastAckNs = now;
            host.send(new Message.Ack(inForce, trouble));
        }
    }

    // ---- timers ----

    /** Must be called periodically, every few tenths of a second. */
    public void tick(long now) {
        if (connection == Connection.NONE && now >= reconnectAtNs) {
            connect();
        } else if (connection == Connection.OPEN && now - lastReceivedNs > settings.silenceTimeoutNs) {
            abandon(now, "nothing received for " + (now - lastReceivedNs) / 1_000_000 + " ms");
        } else if (connection == Connection.OPEN
                && outdatedSinceNs != NEVER
                && now - outdatedSinceNs > settings.outdatedTimeoutNs
                && hasAlternative(now)) {
            abandon(now, "it has been outdated for too long");
        } else if (connection == Connection.OPEN && now - lastAckNs >= ACK_INTERVAL_NS) {
            sendAck(now);
        }
        if (!mayApply && held != null && now - startedAtNs >= settings.startupWaitNs && !isKnownOlder()) {
            mayApply = true;
            host.log("no control process confirmed the newest version in time: starting with " + held.version()
                    + (persisted ? " from disk" : "")
                    + (mayBeOlder ? ", which may be older than the version that ran here before" : ""));
        }
        applyIfReady(now);
    }

    /** Whether the held document is known to be older than what ran here; it is then not put in force. */
    private boolean isKnownOlder() {
        return mayBeOlder && highestSeen != null && highestSeen.comparePosition(held.version()) > 0;
    }

    private boolean hasAlternative(long now) {
        for (int i = 0; i < addressCount; i++) {
            if (i != controlIndex
                    && (abandonedAtNs[i] == Long.MIN_VALUE || now - abandonedAtNs[i] > ABANDONED_PERIOD_NS)) {
                return true;
            }
        }
        return false;
    }

    /** The newest verified document, or null. */
    public Document held() {
        return held;
    }

    /** The version in force, or null. */
    public Version inForce() {
        return inForce;
    }

    /** Why the held document is not in force; empty if there is no problem. */
    public String trouble() {
        return trouble;
    }

    /** The index of the current control process in the address list. */
    public int controlIndex() {
        return controlIndex;
    }

    /** Whether it has every version of its control process, which is itself in step with the primary. */
    public boolean isInStep(long now) {
        return connection == Connection.OPEN
                && caughtUp
                && outdatedSinceNs == NEVER
                && now - lastReceivedNs <= settings.silenceTimeoutNs;
    }

    public boolean isConnected() {
        return connection == Connection.OPEN;
    }
}
