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
    public record Notice(long at, boolean leaving) {}

    /** Something that happened, in words. */
    public record Event(long at, String description) {}

    /** A stretch of time in which something was so; until MAX_VALUE while it lasts. */
    public record Interval(long from, long until) {
        public boolean overlaps(long a, long b) {
            return from <= b && a <= until;
        }
    }

    /** A node at one moment: held in requests, util 0 to 1 or NaN while it is down. */
    public record Sample(long at, String node, int inFlight, double util, double share, boolean listed) {}

    private long start;
    private BiFunction<String, String, ClientRequest> manualRequests;
    private final List<Order> orders = new ArrayList<>();
    private final Map<String, ClientRequest> requests = new HashMap<>();
    private final Map<String, List<Notice>> notified = new HashMap<>();
    /** The same by what discovery has had for long enough, whether or not any watch heard it. */
    private final Map<String, List<Notice>> noticeDue = new HashMap<>();

    private final List<Event> events = new ArrayList<>();
    private final List<Event> crashes = new ArrayList<>();
    private final Map<String, Long> collapsedAt = new LinkedHashMap<>();
    /** Stretches in which a proxy was not itself, or the way to it was not sound: by proxy. */
    private final Map<String, List<Interval>> disrupted = new HashMap<>();

    private final List<Sample> samples = new ArrayList<>();
    private final List<String> servedMalformedRequests = new ArrayList<>();
    private int misbehavingClientCount;
    private int unansweredMisbehavingClients;
    private final List<FleetSnapshot> fleetSnapshots = new ArrayList<>();
    private final List<Life> lives = new ArrayList<>();
    private final Map<String, List<Interval>> unsettled = new HashMap<>();
    private final List<Partition> partitioned = new ArrayList<>();
    private final Map<String, List<Interval>> isolated = new HashMap<>();

    /** Stands behind a proxy's name where a second process is meant that lives under it. */
    public static final String TWIN = "+";

    /** The name that a process has among the others. */
    public static String baseName(String process) {
        return process.endsWith(TWIN) ? process.substring(0, process.length() - TWIN.length()) : process;
    }

    /** One process of a proxy, or its twin, from its start to its end; MAX_VALUE while it lives. */
    public record Life(String proxy, long from, long until) {
        public String name() {
            return baseName(proxy);
        }
    }

    /** Some proxies heard nothing of the others. */
    public record Partition(long from, long until, List<String> group) {}

    /** The day begins now: times in reports count from here. */
    public void markStart(long now) {
        start = now;
    }

    public long start() {
        return start;
    }

    void order(Order o) {
        orders.add(o);
    }

    void request(ClientRequest t) {
        requests.put(t.id, t);
    }

    /** The request of that id; null if no client sent one and strangers are not served. */
    public ClientRequest request(String id, String path) {
        ClientRequest t = requests.get(id);
        return t == null && manualRequests != null && !id.isEmpty() ? manualRequests.apply(id, path) : t;
    }

    /**
     * From now on nodes also serve requests that no client of the day sent: the function makes a try of such
     * a request's id and path, or null.
     */
    public void serveUnknownRequests(BiFunction<String, String, ClientRequest> maker) {
        manualRequests = maker;
    }

    /** Forgets the orders before a time: a day without end must not grow. */
    public void discardBefore(long time) {
        while (!orders.isEmpty() && orders.get(0).at < time) {
            orders.remove(0).requests.forEach(t -> requests.remove(t.id));
        }
        samples.removeIf(s -> s.at < time);
    }

    void notified(String proxy, String node, boolean leaving, long at) {
        addNotice(notified, proxy, node, leaving, at);
    }

    /** From now on a proxy has to know it, however it fared with its calls. */
    void noticeDue(String proxy, String node, boolean leaving, long at) {
        addNotice(noticeDue, proxy, node, leaving, at);
    }

    private static void addNotice(Map<String, List<Notice>> in, String proxy, String node, boolean leaving, long at) {
        List<Notice> list = in.computeIfAbsent(proxy + '>' + node, k -> new ArrayList<>());
        if (list.isEmpty() || list.get(list.size() - 1).leaving != leaving) {
            list.add(new Notice(at, leaving));
        }
    }

    /** When a proxy was told that a node leaves, if that is what it last heard by that time; else 0. */
    public long notifiedLeavingAt(String proxy, String node, long by) {
        return leavingSince(notified, proxy, node, by);
    }

    /** When a proxy had to know at the latest that a node leaves, if that still holds by then; else 0. */
    public long dueLeavingAt(String proxy, String node, long by) {
        return leavingSince(noticeDue, proxy, node, by);
    }

    private static long leavingSince(Map<String, List<Notice>> in, String proxy, String node, long by) {
        long since = 0;
        for (Notice t : in.getOrDefault(proxy + '>' + node, List.of())) {
            if (t.at <= by) {
                since = t.leaving ? t.at : 0;
            }
        }
        return since;
    }

    public void addEvent(long at, String description) {
        events.add(new Event(at, description));
    }

    void addCollapse(String node, long at) {
        collapsedAt.put(node, at);
        addEvent(at, node + " was pushed over while it was cold");
    }

    /** From now on requests that a proxy holds may go without an answer: it is killed, stands still... */
    public void addDisruption(String proxy, long from, long until) {
        disrupted.computeIfAbsent(proxy, p -> new ArrayList<>()).add(new Interval(from, until));
    }

    /** Was the proxy, or the way to it, out of order at any time between the two? */
    public boolean disrupted(String proxy, long from, long until) {
        return disrupted.getOrDefault(proxy, List.of()).stream().anyMatch(s -> s.overlaps(from, until));
    }

    /** A proxy has ended, and nobody told it to. */
    public void addCrash(String proxy, String cause, long at) {
        crashes.add(new Event(at, proxy + " ended by itself: " + cause));
        addEvent(at, proxy + " ended by itself: " + cause);
    }

    // ---- the view of the fleet ----

    /** A process of a proxy has begun. */
    public void processStarted(String proxy, long at) {
        lives.add(new Life(proxy, at, Long.MAX_VALUE));
    }

    /** The last process of a proxy has ended. */
    public void processEnded(String proxy, long at) {
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
        unsettled.computeIfAbsent(proxy, p -> new ArrayList<>()).add(new Interval(from, until));
    }

    /** In that time a proxy heard nothing of any other. */
    public void isolated(String proxy, long from, long until) {
        isolated.computeIfAbsent(proxy, p -> new ArrayList<>()).add(new Interval(from, until));
    }

    /** Was it so all the time between the two? */
    public boolean wasIsolatedThroughout(String proxy, long from, long until) {
        return isolated.getOrDefault(proxy, List.of()).stream().anyMatch(s -> s.from <= from && until <= s.until);
    }

    public void partitioned(long from, long until, List<String> group) {
        partitioned.add(new Partition(from, until, List.copyOf(group)));
    }

    /** A proxy was asked how it sees the fleet. */
    public void addFleetSnapshot(FleetSnapshot l) {
        fleetSnapshots.add(l);
    }

    public List<FleetSnapshot> fleetSnapshots() {
        return fleetSnapshots;
    }

    public List<Life> lives() {
        return lives;
    }

    public List<Partition> partitions() {
        return partitioned;
    }

    /**
     * When the last stretch ended, at that time, in which a proxy was unsettled; MIN_VALUE if there was
     * none.
     */
    public long settledSince(String proxy, long at) {
        long last = Long.MIN_VALUE;
        for (Interval s : unsettled.getOrDefault(proxy, List.of())) {
            if (s.from <= at) {
                last = Math.max(last, Math.min(s.until, at));
            }
        }
        return last;
    }

    public List<Event> crashes() {
        return crashes;
    }

    void sample(Sample s) {
        samples.add(s);
    }

    void addMisbehavingClient(boolean isUnanswered, String servedText) {
        misbehavingClientCount++;
        unansweredMisbehavingClients += isUnanswered ? 1 : 0;
        if (servedText != null) {
            servedMalformedRequests.add(servedText);
        }
    }

    public List<Order> orders() {
        return orders;
    }

    public List<Event> events() {
        return events;
    }

    public Map<String, Long> collapsedAt() {
        return collapsedAt;
    }

    public List<Sample> samples() {
        return samples;
    }

    /** Requests that made no sense and were served all the same. */
    public List<String> servedMalformedRequests() {
        return servedMalformedRequests;
    }

    public int misbehavingClientCount() {
        return misbehavingClientCount;
    }

    /** Rude clients that got neither an error nor a close in time. */
    public int unansweredMisbehavingClients() {
        return unansweredMisbehavingClients;
    }
}
