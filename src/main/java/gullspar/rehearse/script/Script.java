package gullspar.rehearse.script;

import gullspar.decide.Balancer.Effect;
import gullspar.decide.Balancer.Scope;
import gullspar.toml.Range;
import java.util.List;
import java.util.Map;

/**
 * What is to be rehearsed: a fleet, its sites, proxies and clients, and what goes wrong when. The figures are
 * ranges; a day draws from them by its seed. peers: null where the proxies know nothing of each other.
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

    /** The proxies and what each is told of its limits. */
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

    /** What cancelling does to a request that runs. */
    public enum Cancelled {
        STOPS,
        GOES_ON
    }

    /**
     * Nodes alike. Speed 1 does 1 s of work in 1 s on one core; slots run side by side, queue wait; a new
     * connection costs connectMs of work; a key that is remembered saves a share of the work.
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
            double promiseMs,
            double giveUpMs,
            double worth,
            int bodyBytes) {}

    /** The clients: rate in requests a second over all sites. */
    public record Clients(
            double rate, Range giveUpShare, int retries, Range retryWaitMs, int keys, double keySkew, Range noticeS) {}

    /** How news of the nodes reach the proxies; calls of all are answered in turn, each after answerMs. */
    public record Discovery(Range delayMs, Range weightPeriodMs, Range noticeS, double answerMs) {}

    /**
     * The view of the fleet that the proxies keep, and what is asked of it, in s: who lives and can be
     * reached is not called gone for longer than quiet, who is dead has left every view after gone, and
     * after the last fault all views are equal within agree. bytesPerS: what one of them sends, on average;
     * accusationsPerMin: how often one that was never struck has to object to being called gone.
     */
    public record Peers(
            double intervalMs,
            double windowS,
            double quietS,
            double goneS,
            double agreeS,
            int bytesPerS,
            double accusationsPerMin) {}

    /** The rules in figures. */
    public record Rules(double drainGraceMs, double startCapacity, double coldS, double tipMultiple, double fallS) {}

    /**
     * What a search may draw: kinds of faults, how many at the most, for how many s at the end there are
     * none, and the service that is too low for it.
     */
    public record Search(List<FaultKind> kinds, int maxFaults, double faultFreeS, double minService) {}

    public Script {
        sites = List.copyOf(sites);
        nodes = List.copyOf(nodes);
        classes = List.copyOf(classes);
        faults = List.copyOf(faults);
    }

    /** How many nodes there are at the start. */
    public int nodeCount() {
        return nodes.stream().mapToInt(NodeKind::count).sum();
    }

    /** The same with another seed. */
    public Script with(long otherSeed) {
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

    /** The same, as long as that. */
    public Script with(double otherSeconds) {
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

    /** The same with other faults. */
    public Script with(List<Fault> others) {
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
                others,
                expect,
                search,
                peers);
    }
}
