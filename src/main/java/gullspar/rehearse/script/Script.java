package gullspar.rehearse.script;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Scope;
import gullspar.toml.Range;
import java.util.List;
import java.util.Map;

/**
 * The script of a rehearsal: the nodes, sites, proxies and clients, and the faults with their times. Where a
 * value is a range, it is drawn from it at random, by the seed of the day.
 *
 * @param siteDelayMs the one-way delay between two sites, drawn for each pair of sites
 * @param localDelayMs the one-way delay within a site: the midpoint of the range
 * @param expect the minimum shares that the script expects, by name
 * @param peers null if the proxies keep no view of the fleet
 */
public record Script(
        String title,
        double seconds,
        long seed,
        List<String> sites,
        Range siteDelayMs,
        Range localDelayMs,
        Proxies proxies,
        List<NodeKind> nodes,
        List<RequestClass> classes,
        Clients clients,
        Discovery discovery,
        Rules rules,
        List<Fault> faults,
        Map<String, Double> expect,
        Search search,
        Peers peers) {

    /** The proxies and the configured limits of each. */
    public record Proxies(
            int count,
            double cores,
            int memoryMb,
            int sockets,
            int attempts,
            boolean cancelling,
            double retryAfterMs,
            double connectTimeoutMs,
            double startS) {}

    /** What a node does with a running request whose connection is closed. */
    public enum Cancelled {
        STOPS,
        GOES_ON
    }

    /**
     * A number of nodes of one kind. Speed 1 does 1 s of work in 1 s on one core; up to slots requests run in
     * parallel and up to queue wait; a new connection costs connectMs of work; a remembered key saves a share of
     * the work.
     */
    public record NodeKind(
            String kind,
            int count,
            int cores,
            Range speed,
            int slots,
            int queue,
            Cancelled cancelled,
            int connections,
            Range connectMs,
            Range keyMemoryS,
            Range keySaves,
            int maxKeys,
            Range reportPeriodMs,
            Range reportDelayMs,
            double reportNoise,
            int answerBytes) {}

    /**
     * A class of requests.
     *
     * @param windowMs how long nodes detect repeats of a deduplicated request
     * @param share the share of all orders, relative to the sum over the classes
     * @param workMs the processing time on one core of speed 1
     * @param latencyTargetMs an order that is served later counts as not served in time
     * @param giveUpMs the longest that a client waits for a response
     * @param worth the weight of an order in the service
     */
    public record RequestClass(
            String name,
            Effect effect,
            Scope scope,
            double windowMs,
            double share,
            Range workMs,
            double latencyTargetMs,
            double giveUpMs,
            double worth,
            int bodyBytes) {}

    /**
     * The clients.
     *
     * @param rate orders per second, over all sites
     * @param giveUpShare the share of giveUpMs for which a client waits
     * @param retries the maximum number of retries of an order
     * @param keySkew the exponent of the Zipf distribution of the keys
     * @param noticeS the delay after which the front balancer notices that a proxy has ended
     */
    public record Clients(
            double rate, Range giveUpShare, int retries, Range retryWaitMs, int keys, double keySkew, Range noticeS) {}

    /**
     * How changes of the nodes reach the proxies.
     *
     * @param delayMs the delay of a change on its way to a proxy's agent
     * @param weightPeriodMs the interval between updates of the weights
     * @param noticeS the delay after which discovery notices that a node has crashed
     * @param answerMs the service time of a call; calls are served one after another
     */
    public record Discovery(Range delayMs, Range weightPeriodMs, Range noticeS, double answerMs) {}

    /**
     * The view of the fleet that the proxies keep, and its limits, in s: a running, reachable member is not
     * called gone for longer than quiet, a dead one has left every view after gone, and after the last fault
     * all views are equal within agree. bytesPerS: the average that one proxy may send; accusationsPerMin: how
     * often a proxy without faults may have to refute that it is gone or suspected.
     */
    public record Peers(
            double intervalMs,
            double windowS,
            double quietS,
            double goneS,
            double agreeS,
            int bytesPerS,
            double accusationsPerMin) {}

    /**
     * The limits of the rules.
     *
     * @param drainGraceMs how long after a drain notice attempts may still be sent to a node
     * @param startCapacity the share of its capacity that a node has at its start
     * @param coldS the time from its start in which a node warms up to its full capacity
     * @param tipMultiple a cold node collapses if the work sent to it within fallS exceeds this multiple of what it
     *     could have done in that time
     * @param fallS see tipMultiple
     */
    public record Rules(double drainGraceMs, double startCapacity, double coldS, double tipMultiple, double fallS) {}

    /**
     * What a search may draw: the kinds of faults, the maximum number of faults, the seconds without faults at
     * the end, and the service below which a day is a finding.
     */
    public record Search(List<FaultKind> kinds, int maxFaults, double faultFreeS, double minService) {}

    public Script {
        sites = List.copyOf(sites);
        nodes = List.copyOf(nodes);
        classes = List.copyOf(classes);
        faults = List.copyOf(faults);
    }

    /** The number of nodes at the start. */
    public int nodeCount() {
        return nodes.stream().mapToInt(NodeKind::count).sum();
    }

    /** A copy with another seed. */
    public Script withSeed(long otherSeed) {
        return new Script(
                title,
                seconds,
                otherSeed,
                sites,
                siteDelayMs,
                localDelayMs,
                proxies,
                nodes,
                classes,
                clients,
                discovery,
                rules,
                faults,
                expect,
                search,
                peers);
    }

    /** A copy with another duration. */
    public Script withSeconds(double otherSeconds) {
        return new Script(
                title,
                otherSeconds,
                seed,
                sites,
                siteDelayMs,
                localDelayMs,
                proxies,
                nodes,
                classes,
                clients,
                discovery,
                rules,
                faults,
                expect,
                search,
                peers);
    }

    /** A copy with other faults. */
    public Script withFaults(List<Fault> otherFaults) {
        return new Script(
                title,
                seconds,
                seed,
                sites,
                siteDelayMs,
                localDelayMs,
                proxies,
                nodes,
                classes,
                clients,
                discovery,
                rules,
                otherFaults,
                expect,
                search,
                peers);
    }
}
