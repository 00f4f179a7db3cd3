package gullspar.versions;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Follows the document: connects to one of several control processes, verifies what comes, has it kept and
 * put in force, and acknowledges. It never takes a version that is lower than, or a fork of, one it has had.
 * A proxy is one, and so is each control process but the primary.
 */
public final class Follower {
    /** What a follower has done for it; none of it calls back before it returns. */
    public interface Host {
        /** Connect there, by the place in the list of addresses. */
        void connect(int controlIndex);

        /** End the connection, or the attempt at one. {@link Follower#closed} is not called for that. */
        void disconnect();

        void send(Message m);

        /**
         * Keep that document, unless it came from there, and put it in force; then call
         * {@link Follower#taken}. led: the changes that led there from the one before; empty if it came
         * whole.
         */
        void apply(Document d, List<Delta> deltas, boolean persisted);

        /** A line for the log. */
        void log(String line);
    }

    /**
     * Times in ns.
     *
     * @param waitNs at the start control is asked for so long before what is on the disk is put in force
     * @param silenceNs a connection on which nothing came for so long is given up
     * @param leastNs the first pause before a further attempt is drawn from 0 to this; it doubles
     * @param mostNs up to this
     * @param retryNs a document that could not be kept or put in force is tried again so much later
     */
    public record Settings(
            long startupWaitNs, long silenceTimeoutNs, long initialBackoffNs, long maxBackoffNs, long applyRetryNs) {
        private static final long NS_PER_MS = 1_000_000L;
        /** As in service. */
        public static final Settings DEFAULTS =
                new Settings(3000 * NS_PER_MS, 3500 * NS_PER_MS, 500 * NS_PER_MS, 8000 * NS_PER_MS, 10_000 * NS_PER_MS);
    }

    private enum Connection {
        NONE,
        CONNECTING,
        OPEN
    }

    private static final long NEVER = Long.MAX_VALUE;
    private static final long ACK_INTERVAL_NS = 2_000_000_000L;
    /** A control process in doubt is not gone back to for so long, if there is another. */
    private static final long DOUBT_PERIOD_NS = 300_000_000_000L;

    private static final int MAX_DOUBLINGS = 10;

    private final String name;
    private final Message.Role role;
    private final Settings settings;
    private final int addresses;
    private final RandomGenerator random;
    private final Host host;
    private final long[] doubtedAtNs;

    private Connection connection = Connection.NONE;
    private int controlIndex;
    private long reconnectAtNs;
    private int failures;
    private long lastReceivedNs;
    private long lastAckNs;
    private boolean snapshotRequested;
    /** On this connection control has said what it has, and this one had it, or has it by now. */
    private boolean caughtUp;

    private Version announced;
    private long startedAtNs;
    /** Since when the control process is not in step with the primary, or has less than this one. */
    private long doubtSinceNs = NEVER;

    private Document held;
    /** Changes that led from what was last taken to what is held; null where it came whole. */
    private List<Delta> pendingDeltas = List.of();

    private boolean persisted;
    private boolean mayBeOlder;
    /** The highest that any control process has told of. */
    private Version highestSeen;

    private boolean startDecided;
    private boolean applying;
    private Version inForce;
    private String trouble = "";
    private long retryAtNs;

    /** addresses: how many control processes there are, in this follower's order; 1 or more. */
    public Follower(
            String name, Message.Role role, Settings settings, int addresses, RandomGenerator random, Host host) {
        this.name = name;
        this.role = role;
        this.settings = settings;
        this.addresses = addresses;
        this.random = random;
        this.host = host;
        this.doubtedAtNs = new long[addresses];
        Arrays.fill(doubtedAtNs, Long.MIN_VALUE);
    }

    /**
     * It begins. stored: what its disk has, null for nothing; mayBeOlder: it is known that the disk had a
     * newer one, which is damaged.
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

    // ---- what a connection brings ----

    /** The connection is there. */
    public void opened(long now) {
        connection = Connection.OPEN;
        lastReceivedNs = now;
        doubtSinceNs = NEVER;
        snapshotRequested = false;
        caughtUp = false;
        announced = null;
        host.send(new Message.Hello(name, role, held == null ? null : held.version()));
        ack(now);
    }

    /** It has ended, or could not be made. */
    public void closed(long now, String why) {
        if (connection == Connection.NONE) {
            return;
        }
        if (connection == Connection.OPEN) {
            host.log("lost control " + controlIndex + ": " + why);
        }
        scheduleReconnect(now);
    }

    /** Gives a connection up and tries the next address, after a pause that grows with each failure. */
    private void scheduleReconnect(long now) {
        connection = Connection.NONE;
        controlIndex = (controlIndex + 1) % addresses;
        long maxDelayNs =
                Math.min(settings.maxBackoffNs, settings.initialBackoffNs << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        reconnectAtNs = now + (long) (random.nextDouble() * maxDelayNs);
    }

    private void abandon(long now, String why) {
        host.log("leaves control " + controlIndex + ": " + why);
        doubtedAtNs[controlIndex] = now;
        host.disconnect();
        scheduleReconnect(now);
    }

    /** A control process says something. */
    public void received(long now, Message m) {
        lastReceivedNs = now;
        if (m instanceof Message.Head h) {
            head(now, h);
        } else if (m instanceof Message.Update u) {
            update(now, u);
        }
    }

    /** Some of a message has come. */
    public void partReceived(long now) {
        lastReceivedNs = now;
    }

    private void head(long now, Message.Head h) {
        failures = 0;
        if (h.head() != null && (highestSeen == null || h.head().comparePosition(highestSeen) > 0)) {
            highestSeen = h.head();
        }
        String doubt = h.inStep() ? "" : h.control() + " is out of step with the primary";
        if (held != null && (h.head() == null || h.head().comparePosition(held.version()) < 0)) {
            doubt = h.control() + " has only " + (h.head() == null ? "nothing" : h.head()) + ", this one has "
                    + held.version();
        } else if (held != null
                && h.head().comparePosition(held.version()) == 0
                && !h.head().equals(held.version())) {
            doubt = forkMessage(h.control(), h.head());
            if (!doubt.equals(trouble)) {
                trouble = doubt;
                ack(now);
            }
        }
        announced = h.head();
        if (doubt.isEmpty()) {
            doubtSinceNs = NEVER;
            if (held != null && h.head() != null && held.version().equals(h.head())) {
                caughtUp = true;
                startDecided = true;
                mayBeOlder = false;
                if (held.version().equals(inForce) && !trouble.isEmpty()) {
                    trouble = "";
                    ack(now);
                }
            } else if (h.head() == null) {
                caughtUp = true; // nobody has any yet
            }
        } else if (doubtSinceNs == NEVER) {
            doubtSinceNs = now;
            host.log("doubts control " + controlIndex + ": " + doubt);
        }
        applyIfReady(now);
    }

    private String forkMessage(String who, Version other) {
        return who + " has another version of the same place: " + other + ", this one has " + held.version()
                + "; see 'forked' in docs/versions.md";
    }

    private void update(long now, Message.Update u) {
        if (held != null && u.to().comparePosition(held.version()) <= 0) {
            if (!u.to().equals(held.version())) {
                refuse(now, "control " + controlIndex + " sent " + u.to() + ", this one has " + held.version());
            }
            return;
        }
        if (highestSeen == null || u.to().comparePosition(highestSeen) > 0) {
            highestSeen = u.to();
        }
        try {
            if (u.deltas().isEmpty()) {
                snapshot(now, u);
            } else if (held == null) {
                throw new MismatchException("changes, and there is nothing that they could apply to");
            } else {
                Document d = Delta.apply(held, u.deltas());
                if (!d.version().equals(u.to())) {
                    throw new MismatchException("changes that lead to " + d.version() + ", not to " + u.to());
                }
                accept(now, d, u.deltas());
            }
        } catch (MismatchException e) {
            host.log("an update of control " + controlIndex + " is not used: " + e.getMessage());
            if (snapshotRequested) {
                abandon(now, "its updates do not fit");
            } else {
                snapshotRequested = true;
                host.send(new Message.SnapshotRequest());
            }
        }
    }

    private void snapshot(long now, Message.Update u) throws MismatchException {
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

    private void refuse(long now, String why) {
        trouble = why;
        ack(now);
        abandon(now, why);
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
        if (doubtSinceNs == NEVER
                && (caughtUp || announced != null && d.version().comparePosition(announced) >= 0)) {
            caughtUp = true;
            startDecided = true;
        }
        applyIfReady(now);
    }

    // ---- what becomes of a document ----

    private void applyIfReady(long now) {
        if (applying || !startDecided || held == null || held.version().equals(inForce) || now < retryAtNs) {
            return;
        }
        applying = true;
        List<Delta> deltas = pendingDeltas == null ? List.of() : pendingDeltas;
        pendingDeltas = List.of();
        host.apply(held, deltas, persisted);
    }

    /** That version was kept and is in force, if why is null; else why not, and the one before still is. */
    public void applied(long now, Version version, String why) {
        applying = false;
        if (why == null) {
            inForce = version;
            trouble = "";
        } else {
            trouble = why;
            pendingDeltas = null; // who keeps a history begins it anew
            retryAtNs = now + settings.applyRetryNs;
            host.log("version " + version + " is not in force: " + why);
        }
        ack(now);
        applyIfReady(now);
    }

    private void ack(long now) {
        if (connection == Connection.OPEN) {
            lastAckNs = now;
            host.send(new Message.Ack(inForce, trouble));
        }
    }

    // ---- time ----

    /** To be called every so often, some tenths of a second. */
    public void tick(long now) {
        if (connection == Connection.NONE && now >= reconnectAtNs) {
            connect();
        } else if (connection == Connection.OPEN && now - lastReceivedNs > settings.silenceTimeoutNs) {
            abandon(now, "silent for " + (now - lastReceivedNs) / 1_000_000 + " ms");
        } else if (connection == Connection.OPEN
                && doubtSinceNs != NEVER
                && now - doubtSinceNs > settings.startupWaitNs
                && hasAlternative(now)) {
            abandon(now, "it is in doubt");
        } else if (connection == Connection.OPEN && now - lastAckNs >= ACK_INTERVAL_NS) {
            ack(now);
        }
        if (!startDecided && held != null && now - startedAtNs >= settings.startupWaitNs && !isKnownOlder()) {
            startDecided = true;
            host.log("control did not say in time what is newest: begins with " + held.version()
                    + (persisted ? " of the disk" : "")
                    + (mayBeOlder ? ", which may be older than what ran here before" : ""));
        }
        applyIfReady(now);
    }

    /** Is it known that what is held is older than what ran here? Then it is not put in force. */
    private boolean isKnownOlder() {
        return mayBeOlder && highestSeen != null && highestSeen.comparePosition(held.version()) > 0;
    }

    private boolean hasAlternative(long now) {
        for (int i = 0; i < addresses; i++) {
            if (i != controlIndex && (doubtedAtNs[i] == Long.MIN_VALUE || now - doubtedAtNs[i] > DOUBT_PERIOD_NS)) {
                return true;
            }
        }
        return false;
    }

    /** The newest document that was verified; null for none yet. */
    public Document held() {
        return held;
    }

    /** Null for none yet. */
    public Version inForce() {
        return inForce;
    }

    /** Why what is held is not in force; empty for no trouble. */
    public String trouble() {
        return trouble;
    }

    /** The place of the control process in the list of addresses. */
    public int controlIndex() {
        return controlIndex;
    }

    /** Has it all that its control process had, which is itself in step with the primary? */
    public boolean isInStep(long now) {
        return connection == Connection.OPEN
                && caughtUp
                && doubtSinceNs == NEVER
                && now - lastReceivedNs <= settings.silenceTimeoutNs;
    }

    /** Is it connected? */
    public boolean isConnected() {
        return connection == Connection.OPEN;
    }
}
