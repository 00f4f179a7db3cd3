package gullspar.drill;

import gullspar.decide.Balancer;
import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.ListedServer;
import gullspar.decide.Balancer.Outcome;
import gullspar.decide.Balancer.Report;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import gullspar.settings.SettingsException;
import gullspar.settings.SettingsParser;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs instances of the decision module for the simulator, one for each proxy. It translates the wire protocol and
 * makes no decision: batches of events come in, and each is answered with the actions of all instances.
 */
public final class Host {
    /** Size of a server's entry in a list. */
    private static final int ENTRY_BYTES = 22;

    private static final Status[] STATUSES = Status.values();
    private static final State[] STATES = State.values();
    private static final ListKind[] LIST_KINDS = ListKind.values();

    /** A running instance, the columns of its reports (see {@link #REPORT_NAMES}) and its number of classes. */
    private record Instance(Balancer balancer, int[] columns, int profiles) {}

    /** The names of report columns, in the order of the components of {@link Report}. */
    private static final List<String> REPORT_NAMES =
            List.of("outstanding", "backlog", "utilization", "recent_ms", "throughput", "errors_per_s");

    private final Balancer.Factory factory;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Integer, List<ListedServer>> serverLists = new HashMap<>();
    private final Reply reply = new Reply();

    public Host(Balancer.Factory factory) {
        this.factory = factory;
    }

    /** Processes batches until the input ends. Throws a WireException on input that violates the protocol. */
    public void serve(InputStream input, OutputStream output) throws IOException {
        InputStream in = new BufferedInputStream(input, 1 << 16);
        for (Batch batch = Batch.read(in); batch != null; batch = Batch.read(in)) {
            for (int i = 0; i < batch.count; i++) {
                handleEvent(batch, i * Batch.RECORD_BYTES);
            }
            reply.writeTo(output);
        }
    }

    private void handleEvent(Batch batch, int at) {
        int code = batch.u8(at);
        if (code < 1 || code > 11) {
            throw new WireException("unknown event code " + code);
        }
        if (code == 11) { // defines a server list, for all instances
            serverLists.put(batch.u16(at + 1), readServerList(batch, at + 3));
            return;
        }
        int proxy = batch.i32(at + 1);
        if (code == 10) { // stops an instance
            requireRunning(instances.remove(proxy), code, proxy);
            return;
        }
        // Code 1 starts an instance.
        SettingsParser.Parsed start = code == 1 ? parseSettings(batch.tailBytes(at + 13)) : null;
        try {
            if (start != null) {
                int[] columns = findColumns(start.columns());
                instances.put(
                        proxy,
                        new Instance(
                                factory.create(
                                        start.settings(), batch.i64(at + 5), batch.nowNs, reply.actionsOf(proxy)),
                                columns,
                                start.settings().profiles().size()));
                return;
            }
            deliver(batch, at, code, requireRunning(instances.get(proxy), code, proxy));
        } catch (WireException e) {
            throw e;
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.reportException(proxy, e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private static SettingsParser.Parsed parseSettings(byte[] text) {
        try {
            return SettingsParser.parse(new String(text, StandardCharsets.UTF_8));
        } catch (SettingsException e) {
            throw new WireException(e.getMessage());
        }
    }

    private static Instance requireRunning(Instance instance, int code, int proxy) {
        if (instance == null) {
            throw new WireException("event " + code + " for instance " + proxy + ": the instance is not running");
        }
        return instance;
    }

    private void deliver(Batch batch, int at, int code, Instance instance) {
        Balancer module = instance.balancer();
        long now = batch.nowNs;
        switch (code) {
            case 2 -> {
                ListKind kind = constantAt(LIST_KINDS, batch.u8(at + 5), "list kind");
                List<ListedServer> list = kind == ListKind.FAILED ? List.of() : serverLists.get(batch.u16(at + 14));
                if (list == null) {
                    throw new WireException("server list " + batch.u16(at + 14) + " has not been defined");
                }
                module.onServerList(now, kind, batch.i64(at + 6), list);
            }
            case 3 -> {
                int flags = batch.u16(at + 36);
                if (batch.u8(at + 9) >= instance.profiles()) {
                    throw new WireException("request class " + batch.u8(at + 9) + " out of range: number of classes is "
                            + instance.profiles());
                }
                module.onRequest(
                        now,
                        new Request(
                                batch.i32(at + 5),
                                batch.u8(at + 9),
                                batch.u16(at + 10),
                                batch.i64(at + 12),
                                batch.i64(at + 20),
                                (flags & 1) != 0 ? batch.i64(at + 28) : 0,
                                (flags & 2) != 0));
            }
            case 4 -> module.onStreamStarted(
                    now, batch.i32(at + 5), batch.u16(at + 9), batch.i32(at + 11), batch.i64(at + 15));
            case 5 -> module.onOutcome(
                    now,
                    new Outcome(
                            batch.i32(at + 5),
                            batch.u16(at + 9),
                            batch.i32(at + 11),
                            constantAt(STATUSES, batch.u16(at + 15), "outcome"),
                            batch.i64(at + 17),
                            batch.u8(at + 25) != 0,
                            readReport(batch, at + 26, instance.columns())));
            case 6 -> module.onClientDisconnected(now, batch.i32(at + 5));
            case 7 -> module.onTimer(now, batch.i64(at + 5));
            case 8 -> module.onProbeResult(
                    now,
                    batch.i32(at + 5),
                    constantAt(STATUSES, batch.u16(at + 9), "outcome"),
                    batch.i64(at + 11),
                    readReport(batch, at + 19, instance.columns()));
            case 9 -> module.onPeerMessage(now, batch.i32(at + 5), batch.tailBytes(at + 9));
            default -> throw new WireException("unknown event code " + code);
        }
    }

    private static List<ListedServer> readServerList(Batch batch, int at) {
        int from = batch.tailPosition(at, ENTRY_BYTES);
        int count = batch.i32(at + 4);
        List<ListedServer> list = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            int entry = from + i * ENTRY_BYTES;
            list.add(new ListedServer(
                    batch.i32(entry),
                    batch.u16(entry + 4),
                    constantAt(STATES, batch.u8(entry + 6), "server state"),
                    batch.i64(entry + 7),
                    batch.u16(entry + 15),
                    batch.u8(entry + 17),
                    batch.f32(entry + 18)));
        }
        return List.copyOf(list);
    }

    /** For each value of {@link Report}, the column that holds it, or -1 if none does. */
    private static int[] findColumns(String[] names) {
        int[] columns = new int[REPORT_NAMES.size()];
        for (int i = 0; i < columns.length; i++) {
            columns[i] = List.of(names).indexOf(REPORT_NAMES.get(i));
        }
        return columns;
    }

    private static Report readReport(Batch batch, int at, int[] columns) {
        int count = batch.u8(at);
        if (count > 4) {
            throw new WireException("load report of " + count + " values: at most 4 allowed");
        }
        return count == 0
                ? null
                : new Report(
                        reportValue(batch, at, count, columns[0]),
                        reportValue(batch, at, count, columns[1]),
                        reportValue(batch, at, count, columns[2]),
                        reportValue(batch, at, count, columns[3]),
                        reportValue(batch, at, count, columns[4]),
                        reportValue(batch, at, count, columns[5]));
    }

    private static double reportValue(Batch batch, int at, int count, int column) {
        return column < 0 || column >= count ? Double.NaN : batch.f32(at + 1 + 4 * column);
    }

    private static <E> E constantAt(E[] values, int index, String what) {
        if (index >= values.length) {
            throw new WireException("unknown " + what + " " + index);
        }
        return values[index];
    }
}
