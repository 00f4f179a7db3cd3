package gullspar.rehearse.stage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

/** All that happened on a day, as seen from outside the proxies: what the judge and the report go by. */
public final class EventLog {
    /** A proxy was told by then that a node is in service, drains or is gone. */
    public record Told(long at, boolean leaving) {}

    /** Something that happened, in words. */
    public record Happening(long at, String what) {}

    /** A stretch of time in which something was so; until MAX_VALUE while it lasts. */
    public record Stretch(long from, long until) {
        public boolean meets(long a, long b) {
            return from <= b && a <= until;
        }
    }

    /** A node at one moment: held in requests, util 0 to 1 or NaN while it is down. */
    public record Sample(long at, String node, int held, double util, double share, boolean listed) {}

    private long start;
    private BiFunction<String, String, Try> manualRequests;
    private final List<Order> orders = new ArrayList<>();
    private final Map<String, Try> tries = new HashMap<>();
    private final Map<String, List<Told>> told = new HashMap<>();
    /** The same by what discovery has had for long enough, whether or not any watch heard it. */
    private final Map<String, List<Told>> due = new HashMap<>();

    private final List<Happening> happenings = new ArrayList<>();
    private final List<Happening> crashes = new ArrayList<>();
    private final Map<String, Long> fallen = new LinkedHashMap<>();
    /** Stretches in which a proxy was not itself, or the way to it was not sound: by proxy. */
    private final Map<String, List<Stretch>> excused = new HashMap<>();

    private final List<Sample> samples = new ArrayList<>();
    private final List<String> rudeServed = new ArrayList<>();
    private int rudeSent;
    private int rudeIgnored;
    private final List<Look> looks = new ArrayList<>();
    private final List<Life> lives = new ArrayList<>();
    private final Map<String, List<Stretch>> unsettled = new HashMap<>();
    private final List<Parted> parted = new ArrayList<>();
    private final Map<String, List<Stretch>> deaf = new HashMap<>();

    /** Stands behind a proxy's name where a second process is meant that lives under it. */
    public static final String TWIN = "+";

    /** The name that a process has among the others. */
    public static String named(String process) {
        return process.endsWith(TWIN) ? process.substring(0, process.length() - TWIN.length()) : process;
    }

    /** One process of a proxy, or its twin, from its start to its end; MAX_VALUE while it lives. */
    public record Life(String proxy, long from, long until) {
        public String name() {
            return named(proxy);
        }
    }

    /** Some proxies heard nothing of the others. */
    public record Parted(long from, long until, List<String> one) {}

    /** The day begins now: times in reports count from here. */
    public void begins(long now) {
        start = now;
    }

    public long start() {
        return start;
    }

    void order(Order o) {
        orders.add(o);
    }

    void request(Try t) {
        tries.put(t.id, t);
    }

    /** The request of that id; null if no client sent one and strangers are not served. */
    public Try request(String id, String path) {
        Try t = tries.get(id);
        return t == null && manualRequests != null && !id.isEmpty() ? manualRequests.apply(id, path) : t;
    }

    /**
     * From now on nodes also serve requests that no client of the day sent: the function makes a try of such
     * a request's id and path, or null.
     */
    public void serveStrangers(BiFunction<String, String, Try> maker) {
        manualRequests = maker;
    }

    /** Forgets the orders before a time: a day without end must not grow. */
    public void forget(long before) {
        while (!orders.isEmpty() && orders.get(0).at < before) {
            orders.remove(0).tries.forEach(t -> tries.remove(t.id));
        }
        samples.removeIf(s -> s.at < before);
    }

    void told(String proxy, String node, boolean leaving, long at) {
        note(told, proxy, node, leaving, at);
    }

    /** From now on a proxy has to know it, however it fared with its calls. */
    void due(String proxy, String node, boolean leaving, long at) {
        note(due, proxy, node, leaving, at);
    }

    private static void note(Map<String, List<Told>> in, String proxy, String node, boolean leaving, long at) {
        List<Told> list = in.computeIfAbsent(proxy + '>' + node, k -> new ArrayList<>());
        if (list.isEmpty() || list.get(list.size() - 1).leaving != leaving) {
            list.add(new Told(at, leaving));
        }
    }

    /** When a proxy was told that a node leaves, if that is what it last heard by that time; else 0. */
    public long toldLeaving(String proxy, String node, long by) {
        return leaving(told, proxy, node, by);
    }

    /** When a proxy had to know at the latest that a node leaves, if that still holds by then; else 0. */
    public long dueLeaving(String proxy, String node, long by) {
        return leaving(due, proxy, node, by);
    }

    private static long leaving(Map<String, List<Told>> in, String proxy, String node, long by) {
        long since = 0;
        for (Told t : in.getOrDefault(proxy + '>' + node, List.of())) {
            if (t.at <= by) {
                since = t.leaving ? t.at : 0;
            }
        }
        return since;
    }

    public void happened(long at, String what) {
        happenings.add(new Happening(at, what));
    }

    void fell(String node, long at) {
        fallen.put(node, at);
        happened(at, node + " was pushed over while it was cold");
    }

    /** From now on requests that a proxy holds may go without an answer: it is killed, stands still... */
    public void excuse(String proxy, long from, long until) {
        excused.computeIfAbsent(proxy, p -> new ArrayList<>()).add(new Stretch(from, until));
    }

    /** Was the proxy, or the way to it, out of order at any time between the two? */
    public boolean excused(String proxy, long from, long until) {
        return excused.getOrDefault(proxy, List.of()).stream().anyMatch(s -> s.meets(from, until));
    }

    /** A proxy has ended, and nobody told it to. */
    public void crashed(String proxy, String how, long at) {
        crashes.add(new Happening(at, proxy + " ended by itself: " + how));
        happened(at, proxy + " ended by itself: " + how);
    }

    // ---- the view of the fleet ----

    /** A process of a proxy has begun. */
    public void began(String proxy, long at) {
        lives.add(new Life(proxy, at, Long.MAX_VALUE));
    }

    /** The last process of a proxy has ended. */
    public void ended(String proxy, long at) {
        for (int i = lives.size() - 1; i >= 0; i--) {
            Life l = lives.get(i);
            if (l.proxy.equals(proxy)) {
                lives.set(i, new Life(proxy, l.from, Math.min(l.until, at)));
                return;
            }
        }
    }

    /** In that time a proxy may have been seen wrongly, or have seen others so. */
    public void unsettled(String proxy, long from, long until) {
        unsettled.computeIfAbsent(proxy, p -> new ArrayList<>()).add(new Stretch(from, until));
    }

    /** In that time a proxy heard nothing of any other. */
    public void deaf(String proxy, long from, long until) {
        deaf.computeIfAbsent(proxy, p -> new ArrayList<>()).add(new Stretch(from, until));
    }

    /** Was it so all the time between the two? */
    public boolean deafThrough(String proxy, long from, long until) {
        return deaf.getOrDefault(proxy, List.of()).stream().anyMatch(s -> s.from <= from && until <= s.until);
    }

    public void parted(long from, long until, List<String> one) {
        parted.add(new Parted(from, until, List.copyOf(one)));
    }

    /** A proxy was asked how it sees the fleet. */
    public void looked(Look l) {
        looks.add(l);
    }

    public List<Look> looks() {
        return looks;
    }

    public List<Life> lives() {
        return lives;
    }

    public List<Parted> partings() {
        return parted;
    }

    /**
     * When the last stretch ended, at that time, in which a proxy was unsettled; MIN_VALUE if there was
     * none.
     */
    public long settledSince(String proxy, long at) {
        long last = Long.MIN_VALUE;
        for (Stretch s : unsettled.getOrDefault(proxy, List.of())) {
            if (s.from <= at) {
                last = Math.max(last, Math.min(s.until, at));
            }
        }
        return last;
    }

    public List<Happening> crashes() {
        return crashes;
    }

    void sample(Sample s) {
        samples.add(s);
    }

    void rude(boolean owed, String servedInstead) {
        rudeSent++;
        rudeIgnored += owed ? 1 : 0;
        if (servedInstead != null) {
            rudeServed.add(servedInstead);
        }
    }

    public List<Order> orders() {
        return orders;
    }

    public List<Happening> happenings() {
        return happenings;
    }

    public Map<String, Long> fallen() {
        return fallen;
    }

    public List<Sample> samples() {
        return samples;
    }

    /** Requests that made no sense and were served all the same. */
    public List<String> rudeServed() {
        return rudeServed;
    }

    public int rudeSent() {
        return rudeSent;
    }

    /** Rude clients that got neither an error nor a close in time. */
    public int rudeIgnored() {
        return rudeIgnored;
    }
}
