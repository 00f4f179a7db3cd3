package gullspar.rehearse.script;

import gullspar.toml.TableReader;
import java.util.List;

/** The kinds of faults in a rehearsal, with the targets and the parameters of each. */
public enum FaultKind {
    /** Another program periodically takes a share of a node's machine. */
    NEIGHBOUR(
            Target.NODES,
            parameter("takes", 0.5, 0.05, 0.95),
            parameter("on_s", 3, 0.1, 600),
            parameter("off_s", 1, 0, 600)),
    /** A proxy suddenly gets a share of all traffic in addition to its own. */
    RUSH(Target.PROXIES, parameter("share", 0.15, 0.01, 0.9)),
    /** A share of a class's requests costs many times the usual work. */
    HEAVY(Target.CLASS, parameter("share", 0.02, 0.001, 1), parameter("times", 10, 1.1, 100)),
    /** A share of a class's clients leave before their response, at a random time within within_ms. */
    LEAVING(Target.CLASS, parameter("share", 0.2, 0.001, 1), parameter("within_ms", 300, 1, 60_000)),
    /** Traffic falls and the fleet shrinks to a share of its size, evenly over the time. */
    SHRINK(Target.FLEET, parameter("to", 0.5, 0.05, 0.95), parameter("traffic", 0.5, 0.05, 1)),
    /** A node's process ends and starts again, cold, after down_s; with 0 it does not start again. */
    CRASH(Target.NODES, parameter("down_s", 2, 0, 600)),
    /** A node accepts requests, but processes none and sends no response. */
    HANG(Target.NODES),
    /** A node drains, ends, and starts again cold under its old id. */
    RESTART(Target.NODES, parameter("grace_s", 2, 0, 60), parameter("down_s", 1, 0.1, 60)),
    /** A node drains, ends, and another with a new id starts cold at its address. */
    REPLACE(Target.NODES, parameter("grace_s", 2, 0, 60), parameter("down_s", 1, 0.1, 60)),
    /** A node drains and ends. */
    DRAIN(Target.NODES, parameter("grace_s", 3, 0, 60)),
    /** The list arrives later than usual. */
    LATE_LIST(Target.PROXIES, parameter("by_s", 3, 0.1, 60)),
    /** Watches that are opened during the fault get the list as it was at the start of the fault. */
    OLD_LIST(Target.FLEET),
    /** Watches stay open and deliver nothing. */
    SILENT_LIST(Target.PROXIES),
    /** Discovery is down: watches end, new ones are refused. */
    DISCOVERY_DOWN(Target.FLEET),
    /** A link has a higher delay. */
    SLOW_LINK(Target.LINK, parameter("adds_ms", 50, 0.1, 10_000)),
    /** A link loses segments. */
    LOSSY_LINK(Target.LINK, parameter("share", 0.02, 0.0001, 0.9)),
    /** A link silently drops everything, in this direction only. */
    CUT_LINK(Target.LINK),
    /** Each datagram of a link is delayed by up to adds_ms, so datagrams are reordered. */
    JITTERY_LINK(Target.DATAGRAMS, parameter("adds_ms", 200, 0.1, 10_000)),
    /** A share of a link's datagrams is delivered twice. */
    DOUBLED_LINK(Target.DATAGRAMS, parameter("share", 0.2, 0.001, 1)),
    /** A share of a link's datagrams is truncated. */
    TORN_LINK(Target.DATAGRAMS, parameter("share", 0.1, 0.001, 1)),
    /** A share of a link's datagrams has one bit flipped. */
    FLIPPED_LINK(Target.DATAGRAMS, parameter("share", 0.1, 0.001, 1)),
    /** A link holds its datagrams, and then delivers all at once. */
    STALLED_LINK(Target.DATAGRAMS),
    /** The targets and the other proxies receive nothing from each other. */
    PARTITION(Target.PROXIES),
    /** The connections of a link are reset, once. */
    RESET_LINK(Target.LINK),
    /** A node's machine becomes unreachable; when it is back, it resets its earlier connections. */
    VANISH(Target.NODES),
    /** A share of a node's responses is corrupted. */
    SPOIL(Target.NODES, parameter("share", 0.1, 0.001, 1)),
    /** A node sends its responses slowly. */
    SLOW_ANSWERS(Target.NODES, parameter("bytes_per_s", 2000, 1, 1e6)),
    /** Clients that send malformed requests, per_s of them a second. */
    RUDE_CLIENTS(Target.PROXIES, parameter("per_s", 20, 0.1, 1000)),
    /** Clients that connect and send nothing, per_s of them a second. */
    SILENT_CLIENTS(Target.PROXIES, parameter("per_s", 20, 0.1, 1000)),
    /** A proxy is killed and started again. */
    KILL(Target.PROXIES, parameter("down_s", 1, 0.1, 60)),
    /** A proxy is stopped (SIGTERM) and started again. */
    STOP(Target.PROXIES, parameter("down_s", 2, 0.1, 60)),
    /** Discovery moves to another address, and a proxy reloads its configuration (SIGHUP). */
    RELOAD(Target.PROXIES),
    /** A proxy is paused (SIGSTOP) and resumed. */
    PAUSE(Target.PROXIES),
    /** A proxy gets only a share of its processor: in each period it runs for that share and is paused for the rest. */
    STARVED(Target.PROXIES, parameter("share", 0.1, 0.01, 0.95), parameter("period_ms", 500, 20, 60_000)),
    /** A proxy is killed, and starts again at an address that the others do not know. */
    MOVE(Target.PROXIES, parameter("down_s", 1, 0.1, 60)),
    /** Proxies are killed, and each starts again at the address of the one before it. */
    TAKE_OVER(Target.PROXIES, parameter("down_s", 1, 0.1, 60)),
    /** A second process runs under a proxy's name, at an address of its own. */
    TWIN(Target.PROXIES),
    /** Operators replace the fleet's key, proxy by proxy: both accepted, the new one used, the old one removed. */
    NEW_KEY(Target.FLEET),
    /** Datagrams made without the key, modified ones and replayed ones, per_s of them a second. */
    FORGED_DATAGRAMS(Target.PROXIES, parameter("per_s", 200, 1, 5000)),
    /** A proxy announces members that do not exist: for_each of them for each of its datagrams. */
    MAD_MEMBER(Target.PROXIES, parameter("for_each", 100, 1, 500));

    /**
     * What a fault affects: nodes or proxies by number or name, a class, a link from one machine to another, the
     * datagrams on a link between proxies, or the whole fleet.
     */
    public enum Target {
        NODES,
        PROXIES,
        CLASS,
        LINK,
        DATAGRAMS,
        FLEET
    }

    /** A parameter of a fault: its name, default value and bounds. */
    public record Parameter(String name, double defaultValue, double min, double max) {}

    private final Target target;
    private final List<Parameter> parameters;

    FaultKind(Target target, Parameter... parameters) {
        this.target = target;
        this.parameters = List.of(parameters);
    }

    private static Parameter parameter(String name, double defaultValue, double min, double max) {
        return new Parameter(name, defaultValue, min, max);
    }

    public Target target() {
        return target;
    }

    public List<Parameter> parameters() {
        return parameters;
    }

    /** The minimum number of targets. */
    public int minTargets() {
        return this == TAKE_OVER ? 2 : 1;
    }

    /** Whether the fault happens at one moment; such a fault takes no duration. */
    public boolean isMomentary() {
        return switch (this) {
            case CRASH, RESTART, REPLACE, DRAIN, RESET_LINK, KILL, STOP, RELOAD, MOVE, TAKE_OVER -> true;
            default -> false;
        };
    }

    /** Whether the fault affects only proxies with a view of the fleet ([peers]). */
    public boolean needsPeers() {
        return target == Target.DATAGRAMS
                || switch (this) {
                    case PARTITION, MOVE, TAKE_OVER, TWIN, NEW_KEY, FORGED_DATAGRAMS, MAD_MEMBER -> true;
                    default -> false;
                };
    }

    /** The name in scripts. */
    public String scriptName() {
        return TableReader.tomlName(this);
    }
}
