package gullspar.rehearse.stage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

/** All events of a day as seen from outside the proxies; the input of the judge and the report. */
public final class EventLog {
    /** At that time a proxy was notified that a node is in service, or that it drains or has ended. */
    public record Notice(long at, boolean leaving) {}

    /** An event with its description. */
    public record Event(long at, String description) {}

    /** A time interval during which a condition held; until is MAX_VALUE while it lasts. */
    public record Interval(long from, long until) {
        public boolean overlaps(long a, long b) {
            return from <= b && a <= until;
        }
    }

    /**
     * The state of a node at one time, and its activity since the previous sample.
     *
     * @param inFlight the requests that run or wait
     * @param util the utilization, 0 to 1; NaN while the node is down
     * @param share the node's share of all responses, 0 to 1
     * @param listed whether discovery lists it as in service
     */
    public record Sample(long at, String node, int inFlight, double util, double share, boolean listed) {}

    private long start;
    private BiFunction<String, String, ClientRequest> manualRequests;
    private final List<Order> orders = new ArrayList<>();
    private final Map<String, ClientRequest> requests = new HashMap<>();
    private final Map<String, List<Notice>> notices = new HashMap<>();
    /** What a proxy should know because discovery has offered it long enough, with or without a watch. */
    private final Map<String, List<Notice>> dueNotices = new HashMap<>();

    private final List<Event> events = new ArrayList<>();
    private final List<Event> crashes = new ArrayList<>();
    private final Map<String, Long> collapsedAt = new LinkedHashMap<>();
    /** Intervals in which a proxy, or the network path to it, was disturbed: by proxy. */
    private final Map<String, List<Interval>> disruptions = new HashMap<>();

    private final List<Sample> samples = new ArrayList<>();
    private final List<String> servedMalformedRequests = new ArrayList<>();
    private int misbehavingClientCount;
    private int unansweredMisbehavingClients;
    private final List<FleetSnapshot> fleetSnapshots = new ArrayList<>();
    private final List<Life> lives = new ArrayList<>();
    private final Map<String, List<Interval>> unsettledIntervals = new HashMap<>();
    private final List<Partition> partitions = new ArrayList<>();
    private final Map<String, List<Interval>> isolations = new HashMap<>();

    /** Suffix of a proxy's name for a second process that runs under the same name. */
    public static final String TWIN = "+";

    /** The name under which a process appears in the fleet. */
    public static String baseName(String process) {
        return process.endsWith(TWIN) ? process.substring(0, process.length() - TWIN.length()) : process;
    }

    /** One process of a proxy, or its twin, from start to end; until is MAX_VALUE while it runs. */
    public record Life(String proxy, long from, long until) {
        public String name() {
            return baseName(proxy);
        }
    }

    /** A network partition between a group of proxies and all others. */
    public record Partition(long from, long until, List<String> group) {}

    /** Marks the start of the day, from which times in reports count. */
    public void markStart(long now) {
        start = now;
    }

    public long start() {
        return start;
    }

    void addOrder(Order order) {
        orders.add(order);
    }

    void request(ClientRequest request) {
        requests.put(request.id, request);
    }

    /** The request of that id; null if no client sent it and unknown requests are not served. */
    public ClientRequest request(String id, String path) {
        ClientRequest request = requests.get(id);
        return request == null && manualRequests != null && !id.isEmpty() ? manualRequests.apply(id, path) : request;
    }

    /**
     * Makes nodes also serve requests that no simulated client sent: the function creates a request from an id
     * and a path, or returns null.
     */
    public void serveUnknownRequests(BiFunction<String, String, ClientRequest> maker) {
        manualRequests = maker;
    }

    /** Discards orders and samples before a time, so that a day without an end does not use more and more memory. */
    public void discardBefore(long time) {
        while (!orders.isEmpty() && orders.get(0).at < time) {
            orders.remove(0).requests.forEach(t -> requests.remove(t.id));
        }
        samples.removeIf(s -> s.at < time);
    }

    void addNotice(String proxy, String node, boolean leaving, long at) {
        append(notices, proxy, node, leaving, at);
    }

    /** Records that the proxy should know the notice from then on, whether or not its calls to discovery succeed. */
    void addDueNotice(String proxy, String node, boolean leaving, long at) {
        append(dueNotices, proxy, node, leaving, at);
    }

    private static void append(Map<String, List<Notice>> in, String proxy, String node, boolean leaving, long at) {
        List<Notice> list = in.computeIfAbsent(proxy + '>' + node, k -> new ArrayList<>());
        if (list.isEmpty() || list.get(list.size() - 1).leaving != leaving) {
            list.add(new Notice(at, leaving));
        }
    }

    /** When the proxy was notified that the node leaves, if that was its last notice by then; else 0. */
    public long notifiedLeavingAt(String proxy, String node, long by) {
        return leavingSince(notices, proxy, node, by);
    }

    /** The time by which the proxy should have known that the node leaves, if that still holds by then; else 0. */
    public long dueLeavingAt(String proxy, String node, long by) {
        return leavingSince(dueNotices, proxy, node, by);
    }

    private static long leavingSince(Map<String, List<Notice>> in, String proxy, String node, long by) {
        long since = 0;
        for (Notice notice : in.getOrDefault(proxy + '>' + node, List.of())) {
            if (notice.at <= by) {
                since = notice.leaving ? notice.at : 0;
            }
        }
        return since;
    }

    /** Adds an event to the timeline that reports show; it has no influence on the judgment. */
    public void addEvent(long at, String description) {
        events.add(new Event(at, description));
    }

    void addCollapse(String node, long at) {
        collapsedAt.put(node, at);
        addEvent(at, node + " collapsed under load during its cold start");
    }

    /** Adds an interval in which requests may get no response from a proxy, as it is killed or paused. */
    public void addDisruption(String proxy, long from, long until) {
        disruptions.computeIfAbsent(proxy, p -> new ArrayList<>()).add(new Interval(from, until));
    }

    /** Whether the proxy, or the network path to it, was disturbed at any time between the two. */
    public boolean wasDisrupted(String proxy, long from, long until) {
        return disruptions.getOrDefault(proxy, List.of()).stream().anyMatch(s -> s.overlaps(from, until));
    }

    /** Records that a proxy ended without being stopped. */
    public void addCrash(String proxy, String cause, long at) {
        crashes.add(new Event(at, proxy + " exited unexpectedly: " + cause));
        addEvent(at, proxy + " exited unexpectedly: " + cause);
    }

    // ---- the view of the fleet ----

    /** Records the start of a process of a proxy. */
    public void processStarted(String proxy, long at) {
        lives.add(new Life(proxy, at, Long.MAX_VALUE));
    }

    /** Records the end of the last process of a proxy. */
    public void processEnded(String proxy, long at) {
        for (int i = lives.size() - 1; i >= 0; i--) {
            Life life = lives.get(i);
            if (life.proxy.equals(proxy)) {
                lives.set(i, new Life(proxy, life.from, Math.min(life.until, at)));
                return;
            }
        }
    }

    /** Adds an interval in which the proxy's view of others, or theirs of it, may be wrong. */
    public void addUnsettledInterval(String proxy, long from, long until) {
        unsettledIntervals.computeIfAbsent(proxy, p -> new ArrayList<>()).add(new Interval(from, until));
    }

    /** Adds an interval in which the proxy received nothing from any other. */
    public void addIsolation(String proxy, long from, long until) {
        isolations.computeIfAbsent(proxy, p -> new ArrayList<>()).add(new Interval(from, until));
    }

    /** Whether the proxy was isolated during all the time between the two. */
    public boolean wasIsolatedThroughout(String proxy, long from, long until) {
        return isolations.getOrDefault(proxy, List.of()).stream().anyMatch(s -> s.from <= from && until <= s.until);
    }

    /** Adds an interval in which the group and the other proxies receive nothing from each other. */
    public void addPartition(long from, long until, List<String> group) {
        partitions.add(new Partition(from, until, List.copyOf(group)));
    }

    /** Records a proxy's view of the fleet. */
    public void addFleetSnapshot(FleetSnapshot snapshot) {
        fleetSnapshots.add(snapshot);
    }

    public List<FleetSnapshot> fleetSnapshots() {
        return fleetSnapshots;
    }

    public List<Life> lives() {
        return lives;
    }

    public List<Partition> partitions() {
        return partitions;
    }

    /**
     * The end of the last unsettled interval of a proxy that started by that time, but not after that time;
     * MIN_VALUE if there was none.
     */
    public long settledSince(String proxy, long at) {
        long last = Long.MIN_VALUE;
        for (Interval interval : unsettledIntervals.getOrDefault(proxy, List.of())) {
            if (interval.from <= at) {
                last = Math.max(last, Math.min(interval.until, at));
            }
        }
        return last;
    }

    public List<Event> crashes() {
        return crashes;
    }

    void addSample(Sample sample) {
        samples.add(sample);
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

    /** Texts of malformed requests that were served nevertheless. */
    public List<String> servedMalformedRequests() {
        return servedMalformedRequests;
    }

    public int misbehavingClientCount() {
        return misbehavingClientCount;
    }

    /** The number of misbehaving clients that got neither an error nor a close in time. */
    public int unansweredMisbehavingClients() {
        return unansweredMisbehavingClients;
    }
}
