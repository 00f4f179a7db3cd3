package gullspar.rehearse.script;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Scope;
import gullspar.toml.Range;
import java.util.List;
import java.util.Map;

/**
 * What is rehearsed: a fleet, its sites, proxies and clients, and the faults with their times. Ranges are
 * drawn from by the seed of the day. peers: null where the proxies keep no view of the fleet.
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

    /** What cancelling does to a running request. */
    public enum Cancelled {
        STOPS,
        GOES_ON
    }

    /**
     * Identical nodes. Speed 1 does 1 s of work in 1 s on one core; up to slots requests run in parallel and up to
     * queue wait; a new connection costs connectMs of work; a remembered key saves a share of the work.
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

    /** A class of request. */
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

    /** The clients: rate in requests a second over all sites; giveUpShare is the part of giveUpMs that one waits. */
    public record Clients(
            double rate, Range giveUpShare, int retries, Range retryWaitMs, int keys, double keySkew, Range noticeS) {}

    /** How changes of the nodes reach the proxies; calls are answered one after the other, each after answerMs. */
    public record Discovery(Range delayMs, Range weightPeriodMs, Range noticeS, double answerMs) {}

    /**
     * The view of the fleet that the proxies keep, and its limits, in s: a running, reachable member is not
     * called gone for longer than quiet, a dead one has left every view after gone, and after the last fault
     * all views are equal within agree. bytesPerS: the average that one proxy may send; accusationsPerMin: how
     * often a proxy without faults may have to object to being called gone.
     */
    public record Peers(
            double intervalMs,
            double windowS,
            double quietS,
            double goneS,
            double agreeS,
            int bytesPerS,
            double accusationsPerMin) {}

    /** The limits of the rules. */
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
