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
        void connect(int which);

        /** End the connection, or the attempt at one. {@link Follower#closed} is not called for that. */
        void disconnect();

        void send(Message m);

        /**
         * Keep that document, unless it came from there, and put it in force; then call
         * {@link Follower#taken}. led: the changes that led there from the one before; empty if it came
         * whole.
         */
        void take(Document d, List<Delta> led, boolean kept);

        /** A line for the log. */
        void say(String line);
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
    public record Settings(long waitNs, long silenceNs, long leastNs, long mostNs, long retryNs) {
        private static final long MS = 1_000_000L;
        /** As in service. */
        public static final Settings USUAL = new Settings(3000 * MS, 3500 * MS, 500 * MS, 8000 * MS, 10_000 * MS);
    }

    private enum Connection {
        NONE,
        CONNECTING,
        OPEN
    }

    private static final long NEVER = Long.MAX_VALUE;
    private static final long BEAT_NS = 2_000_000_000L;
    /** A control process in doubt is not gone back to for so long, if there is another. */
    private static final long DOUBT_NS = 300_000_000_000L;

    private static final int MOST_DOUBLINGS = 10;

    private final String name;
    private final Message.Role role;
    private final Settings settings;
    private final int addresses;
    private final RandomGenerator random;
    private final Host host;
    private final long[] doubted;

    private Connection connection = Connection.NONE;
    private int which;
    private long connectAt;
    private int failures;
    private long lastHeard;
    private long lastAck;
    private boolean wanted;
    /** On this connection control has said what it has, and this one had it, or has it by now. */
    private boolean caughtUp;

    private Version told;
    private long startedAt;
    /** Since when the control process is not in step with the primary, or has less than this one. */
    private long doubtSince = NEVER;

    private Document held;
    /** Changes that led from what was last taken to what is held; null where it came whole. */
    private List<Delta> led = List.of();

    private boolean kept;
    private boolean mayBeOlder;
    /** The highest that any control process has told of. */
    private Version highest;

    private boolean decided;
    private boolean taking;
    private Version inForce;
    private String trouble = "";
    private long retryAt;

    /** addresses: how many control processes there are, in this follower's order; 1 or more. */
    public Follower(
            String name, Message.Role role, Settings settings, int addresses, RandomGenerator random, Host host) {
        this.name = name;
        this.role = role;
        this.settings = settings;
        this.addresses = addresses;
        this.random = random;
        this.host = host;
        this.doubted = new long[addresses];
        Arrays.fill(doubted, Long.MIN_VALUE);
    }

    /**
     * It begins. stored: what its disk has, null for nothing; mayBeOlder: it is known that the disk had a
     * newer one, which is damaged.
     */
    public void start(long now, Document stored, boolean mayBeOlder) {
        startedAt = now;
        held = stored;
        kept = stored != null;
        this.mayBeOlder = mayBeOlder;
        connect();
    }

    private void connect() {
        connection = Connection.CONNECTING;
        host.connect(which);
    }

    // ---- what a connection brings ----

    /** The connection is there. */
    public void opened(long now) {
        connection = Connection.OPEN;
        lastHeard = now;
        doubtSince = NEVER;
        wanted = false;
        caughtUp = false;
        told = null;
        host.send(new Message.Hello(name, role, held == null ? null : held.version()));
        ack(now);
    }

    /** It has ended, or could not be made. */
    public void closed(long now, String why) {
        if (connection == Connection.NONE) {
            return;
        }
        if (connection == Connection.OPEN) {
            host.say("lost control " + which + ": " + why);
        }
        next(now);
    }

    /** Gives a connection up and tries the next address, after a pause that grows with each failure. */
    private void next(long now) {
        connection = Connection.NONE;
        which = (which + 1) % addresses;
        long most = Math.min(settings.mostNs, settings.leastNs << Math.min(failures, MOST_DOUBLINGS));
        failures++;
        connectAt = now + (long) (random.nextDouble() * most);
    }

    private void leave(long now, String why) {
        host.say("leaves control " + which + ": " + why);
        doubted[which] = now;
        host.disconnect();
        next(now);
    }

    /** A control process says something. */
    public void received(long now, Message m) {
        lastHeard = now;
        if (m instanceof Message.Head h) {
            head(now, h);
        } else if (m instanceof Message.Update u) {
            update(now, u);
        }
    }

    /** Some of a message has come. */
    public void heard(long now) {
        lastHeard = now;
    }

    private void head(long now, Message.Head h) {
        failures = 0;
        if (h.head() != null && (highest == null || h.head().order(highest) > 0)) {
            highest = h.head();
        }
        String doubt = h.inStep() ? "" : h.control() + " is out of step with the primary";
        if (held != null && (h.head() == null || h.head().order(held.version()) < 0)) {
            doubt = h.control() + " has only " + (h.head() == null ? "nothing" : h.head()) + ", this one has "
                    + held.version();
        } else if (held != null
                && h.head().order(held.version()) == 0
                && !h.head().equals(held.version())) {
            doubt = forked(h.control(), h.head());
            if (!doubt.equals(trouble)) {
                trouble = doubt;
                ack(now);
            }
        }
        told = h.head();
        if (doubt.isEmpty()) {
            doubtSince = NEVER;
            if (held != null && h.head() != null && held.version().equals(h.head())) {
                caughtUp = true;
                decided = true;
                mayBeOlder = false;
                if (held.version().equals(inForce) && !trouble.isEmpty()) {
                    trouble = "";
                    ack(now);
                }
            } else if (h.head() == null) {
                caughtUp = true; // nobody has any yet
            }
        } else if (doubtSince == NEVER) {
            doubtSince = now;
            host.say("doubts control " + which + ": " + doubt);
        }
        offer(now);
    }

    private String forked(String who, Version other) {
        return who + " has another version of the same place: " + other + ", this one has " + held.version()
                + "; see 'forked' in docs/versions.md";
    }

    private void update(long now, Message.Update u) {
        if (held != null && u.to().order(held.version()) <= 0) {
            if (!u.to().equals(held.version())) {
                refused(now, "control " + which + " sent " + u.to() + ", this one has " + held.version());
            }
            return;
        }
        if (highest == null || u.to().order(highest) > 0) {
            highest = u.to();
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
                hold(now, d, u.deltas());
            }
        } catch (MismatchException e) {
            host.say("an update of control " + which + " is not used: " + e.getMessage());
            if (wanted) {
                leave(now, "its updates do not fit");
            } else {
                wanted = true;
                host.send(new Message.Want());
            }
        }
    }

    private void snapshot(long now, Message.Update u) throws MismatchException {
        Document d = Document.verified(u.to(), u.text());
        if (held != null && u.to().epoch() == held.version().epoch()) {
            boolean other = u.ancestor() != null && !u.ancestor().equals(held.version());
            boolean next = u.to().number() == held.version().number() + 1 && !u.to().follows(held.version());
            if (other || next) {
                refused(now, forked("control " + which, other ? u.ancestor() : u.to()));
                return;
            }
        }
        hold(now, d, null);
    }

    private void refused(long now, String why) {
        trouble = why;
        ack(now);
        leave(now, why);
    }

    private void hold(long now, Document d, List<Delta> how) {
        held = d;
        kept = false;
        mayBeOlder = false;
        wanted = false;
        if (how == null) {
            led = null;
        } else if (led != null) {
            List<Delta> all = new ArrayList<>(led);
            all.addAll(how);
            led = all;
        }
        retryAt = now;
        if (doubtSince == NEVER && (caughtUp || told != null && d.version().order(told) >= 0)) {
            caughtUp = true;
            decided = true;
        }
        offer(now);
    }

    // ---- what becomes of a document ----

    private void offer(long now) {
        if (taking || !decided || held == null || held.version().equals(inForce) || now < retryAt) {
            return;
        }
        taking = true;
        List<Delta> how = led == null ? List.of() : led;
        led = List.of();
        host.take(held, how, kept);
    }

    /** That version was kept and is in force, if why is null; else why not, and the one before still is. */
    public void taken(long now, Version v, String why) {
        taking = false;
        if (why == null) {
            inForce = v;
            trouble = "";
        } else {
            trouble = why;
            led = null; // who keeps a history begins it anew
            retryAt = now + settings.retryNs;
            host.say("version " + v + " is not in force: " + why);
        }
        ack(now);
        offer(now);
    }

    private void ack(long now) {
        if (connection == Connection.OPEN) {
            lastAck = now;
            host.send(new Message.Ack(inForce, trouble));
        }
    }

    // ---- time ----

    /** To be called every so often, some tenths of a second. */
    public void tick(long now) {
        if (connection == Connection.NONE && now >= connectAt) {
            connect();
        } else if (connection == Connection.OPEN && now - lastHeard > settings.silenceNs) {
            leave(now, "silent for " + (now - lastHeard) / 1_000_000 + " ms");
        } else if (connection == Connection.OPEN
                && doubtSince != NEVER
                && now - doubtSince > settings.waitNs
                && another(now)) {
            leave(now, "it is in doubt");
        } else if (connection == Connection.OPEN && now - lastAck >= BEAT_NS) {
            ack(now);
        }
        if (!decided && held != null && now - startedAt >= settings.waitNs && !olderIsKnown()) {
            decided = true;
            host.say("control did not say in time what is newest: begins with " + held.version()
                    + (kept ? " of the disk" : "")
                    + (mayBeOlder ? ", which may be older than what ran here before" : ""));
        }
        offer(now);
    }

    /** Is it known that what is held is older than what ran here? Then it is not put in force. */
    private boolean olderIsKnown() {
        return mayBeOlder && highest != null && highest.order(held.version()) > 0;
    }

    private boolean another(long now) {
        for (int i = 0; i < addresses; i++) {
            if (i != which && (doubted[i] == Long.MIN_VALUE || now - doubted[i] > DOUBT_NS)) {
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
    public int which() {
        return which;
    }

    /** Has it all that its control process had, which is itself in step with the primary? */
    public boolean inStep(long now) {
        return connection == Connection.OPEN
                && caughtUp
                && doubtSince == NEVER
                && now - lastHeard <= settings.silenceNs;
    }

    /** Is it connected? */
    public boolean connected() {
        return connection == Connection.OPEN;
    }
}
