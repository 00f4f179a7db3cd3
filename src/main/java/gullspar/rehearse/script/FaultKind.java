package gullspar.rehearse.script;

import gullspar.toml.TableReader;
import java.util.List;

/** What can go wrong in a rehearsal, what it strikes and the figures that it takes. */
public enum FaultKind {
    /** Another program takes a share of a node's machine, on and off. */
    NEIGHBOUR(
            Target.NODES,
            parameter("takes", 0.5, 0.05, 0.95),
            parameter("on_s", 3, 0.1, 600),
            parameter("off_s", 1, 0, 600)),
    /** A proxy suddenly draws a share of all traffic on top of its own. */
    RUSH(Target.PROXIES, parameter("share", 0.15, 0.01, 0.9)),
    /** A share of a class's requests costs many times the usual work. */
    HEAVY(Target.CLASS, parameter("share", 0.02, 0.001, 1), parameter("times", 10, 1.1, 100)),
    /** A share of a class's clients leave before their answer, at any moment within so long. */
    LEAVING(Target.CLASS, parameter("share", 0.2, 0.001, 1), parameter("within_ms", 300, 1, 60_000)),
    /** Traffic falls and the fleet shrinks to a share of its size, evenly over the time. */
    SHRINK(Target.FLEET, parameter("to", 0.5, 0.05, 0.95), parameter("traffic", 0.5, 0.05, 1)),
    /** A node's process ends; after a while it starts again, cold. 0: it stays away. */
    CRASH(Target.NODES, parameter("down_s", 2, 0, 600)),
    /** A node takes what comes, works on nothing and says nothing. */
    HANG(Target.NODES),
    /** A node drains, ends, and is back cold under its old id. */
    RESTART(Target.NODES, parameter("grace_s", 2, 0, 60), parameter("down_s", 1, 0.1, 60)),
    /** A node drains, ends, and another with a new id starts cold at its address. */
    REPLACE(Target.NODES, parameter("grace_s", 2, 0, 60), parameter("down_s", 1, 0.1, 60)),
    /** A node drains and is gone. */
    DRAIN(Target.NODES, parameter("grace_s", 3, 0, 60)),
    /** The list comes later than usual. */
    LATE_LIST(Target.PROXIES, parameter("by_s", 3, 0.1, 60)),
    /** Watches that are opened meanwhile get the list as it was when this began. */
    OLD_LIST(Target.FLEET),
    /** Watches stay open and bring nothing. */
    SILENT_LIST(Target.PROXIES),
    /** Discovery is down: watches end, new ones are refused. */
    DISCOVERY_DOWN(Target.FLEET),
    /** A way takes longer. */
    SLOW_LINK(Target.LINK, parameter("adds_ms", 50, 0.1, 10_000)),
    /** A way loses segments. */
    LOSSY_LINK(Target.LINK, parameter("share", 0.02, 0.0001, 0.9)),
    /** A way carries nothing, in this direction only; nobody is told. */
    CUT_LINK(Target.LINK),
    /** Datagrams of a way take longer by up to so much each, so they overtake one another. */
    JITTERY_LINK(Target.DATAGRAMS, parameter("adds_ms", 200, 0.1, 10_000)),
    /** A share of a way's datagrams comes twice. */
    DOUBLED_LINK(Target.DATAGRAMS, parameter("share", 0.2, 0.001, 1)),
    /** A share of a way's datagrams comes cut short. */
    TORN_LINK(Target.DATAGRAMS, parameter("share", 0.1, 0.001, 1)),
    /** A share of a way's datagrams comes with a bit turned round. */
    FLIPPED_LINK(Target.DATAGRAMS, parameter("share", 0.1, 0.001, 1)),
    /** A way holds its datagrams, and then delivers all at once. */
    STALLED_LINK(Target.DATAGRAMS),
    /** Those struck and the other proxies hear nothing of each other. */
    PARTITION(Target.PROXIES),
    /** The connections of a way are reset, once. */
    RESET_LINK(Target.LINK),
    /** A node's machine vanishes; when it is back it resets the connections that it had. */
    VANISH(Target.NODES),
    /** A share of a node's answers comes spoilt. */
    SPOIL(Target.NODES, parameter("share", 0.1, 0.001, 1)),
    /** A node's answers trickle. */
    SLOW_ANSWERS(Target.NODES, parameter("bytes_per_s", 2000, 1, 1e6)),
    /** Clients that send what makes no sense, so many a second. */
    RUDE_CLIENTS(Target.PROXIES, parameter("per_s", 20, 0.1, 1000)),
    /** Clients that connect and say nothing, so many each second. */
    SILENT_CLIENTS(Target.PROXIES, parameter("per_s", 20, 0.1, 1000)),
    /** A proxy is killed and started again. */
    KILL(Target.PROXIES, parameter("down_s", 1, 0.1, 60)),
    /** A proxy is told to end (SIGTERM) and started again. */
    STOP(Target.PROXIES, parameter("down_s", 2, 0.1, 60)),
    /** Discovery moves, and a proxy is told to read its configuration anew (SIGHUP). */
    RELOAD(Target.PROXIES),
    /** A proxy stands still (SIGSTOP), and goes on. */
    PAUSE(Target.PROXIES),
    /** A proxy gets only a share of its processor: it runs so long in each period, and stands still. */
    STARVED(Target.PROXIES, parameter("share", 0.1, 0.01, 0.95), parameter("period_ms", 500, 20, 60_000)),
    /** A proxy is killed, and comes back where the others do not look for it. */
    MOVE(Target.PROXIES, parameter("down_s", 1, 0.1, 60)),
    /** Proxies are killed, and each comes back at the address that the one before it had. */
    TAKE_OVER(Target.PROXIES, parameter("down_s", 1, 0.1, 60)),
    /** A second process lives under a proxy's name, at an address of its own. */
    TWIN(Target.PROXIES),
    /** Operators replace the fleet's key, proxy by proxy: both known, the new one used, the old one gone. */
    NEW_KEY(Target.FLEET),
    /** Datagrams made without the key, changed ones, and old ones once more, so many a second. */
    FORGED_DATAGRAMS(Target.PROXIES, parameter("per_s", 200, 1, 5000)),
    /** A proxy tells the others of some that do not exist: so many for each of its datagrams. */
    MAD_MEMBER(Target.PROXIES, parameter("for_each", 100, 1, 500));

    /**
     * What a fault strikes: nodes or proxies by number or name, a way from one machine to another, the
     * datagrams on a way between proxies...
     */
    public enum Target {
        NODES,
        PROXIES,
        CLASS,
        LINK,
        DATAGRAMS,
        FLEET
    }

    /** A figure of a fault: its name, the value where none is given, and its bounds. */
    public record Parameter(String name, double defaultValue, double min, double max) {}

    private final Target target;
    private final List<Parameter> parameters;

    FaultKind(Target target, Parameter... figures) {
        this.target = target;
        this.parameters = List.of(figures);
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

    /** How many it strikes at the least. */
    public int minTargets() {
        return this == TAKE_OVER ? 2 : 1;
    }

    /** Is it over in a moment? Such a fault takes no duration. */
    public boolean isMomentary() {
        return switch (this) {
            case CRASH, RESTART, REPLACE, DRAIN, RESET_LINK, KILL, STOP, RELOAD, MOVE, TAKE_OVER -> true;
            default -> false;
        };
    }

    /** Is it one of those that only proxies with a view of the fleet feel? */
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
