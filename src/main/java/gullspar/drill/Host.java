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

/** Runs many instances of the decision module for the simulator, translating its wire protocol only. */
public final class Host {
    private static final int ENTRY_BYTES = 22;
    private static final Status[] STATUSES = Status.values();
    private static final State[] STATES = State.values();
    private static final ListKind[] LIST_KINDS = ListKind.values();

    /** A running instance and the columns of its reports (see {@link #REPORT_NAMES}). */
    private record Instance(Balancer balancer, int[] columns, int profiles) {}

    private static final List<String> REPORT_NAMES =
            List.of("outstanding", "backlog", "utilization", "recent_ms", "throughput", "errors_per_s");

    private final Balancer.Factory factory;
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Integer, List<ListedServer>> serverLists = new HashMap<>();
    private final Reply reply = new Reply();

    public Host(Balancer.Factory factory) {
        this.factory = factory;
    }

    /** Processes batches until the input ends. */
    public void serve(InputStream input, OutputStream output) throws IOException {
        InputStream in = new BufferedInputStream(input, 1 << 16);
        for (Batch b = Batch.read(in); b != null; b = Batch.read(in)) {
            for (int i = 0; i < b.count; i++) {
                handleEvent(b, i * Batch.RECORD_BYTES);
            }
            reply.writeTo(output);
        }
    }

    private void handleEvent(Batch b, int at) {
        int code = b.u8(at);
        if (code < 1 || code > 11) {
            throw new WireException("unknown event code " + code);
        }
        if (code == 11) {
            serverLists.put(b.u16(at + 1), readServerList(b, at + 3));
            return;
        }
        int proxy = b.i32(at + 1);
        if (code == 10) {
            requireRunning(instances.remove(proxy), code, proxy);
            return;
        }
        SettingsParser.Parsed start = code == 1 ? parseSettings(b.tailBytes(at + 13)) : null;
        try {
            if (start != null) {
                int[] columns = findColumns(start.columns());
                instances.put(
                        proxy,
                        new Instance(
                                factory.create(start.settings(), b.i64(at + 5), b.nowNs, reply.actionsOf(proxy)),
                                columns,
                                start.settings().profiles().size()));
                return;
            }
            deliver(b, at, code, requireRunning(instances.get(proxy), code, proxy));
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

    private static Instance requireRunning(Instance i, int code, int proxy) {
        if (i == null) {
            throw new WireException("event " + code + " for instance " + proxy + ": the instance is not running");
        }
        return i;
    }

    private void deliver(Batch b, int at, int code, Instance to) {
        Balancer m = to.balancer();
        long now = b.nowNs;
        switch (code) {
            case 2 -> {
                ListKind kind = constantAt(LIST_KINDS, b.u8(at + 5), "list kind");
                List<ListedServer> list = kind == ListKind.FAILED ? List.of() : serverLists.get(b.u16(at + 14));
                if (list == null) {
                    throw new WireException("server list " + b.u16(at + 14) + " has not been defined");
                }
                m.onServerList(now, kind, b.i64(at + 6), list);
            }
            case 3 -> {
                int flags = b.u16(at + 36);
                if (b.u8(at + 9) >= to.profiles()) {
                    throw new WireException(
                            "request class " + b.u8(at + 9) + " out of range: number of classes is " + to.profiles());
                }
                m.onRequest(
                        now,
                        new Request(
                                b.i32(at + 5),
                                b.u8(at + 9),
                                b.u16(at + 10),
                                b.i64(at + 12),
                                b.i64(at + 20),
                                (flags & 1) != 0 ? b.i64(at + 28) : 0,
                                (flags & 2) != 0));
            }
            case 4 -> m.onStreamStarted(now, b.i32(at + 5), b.u16(at + 9), b.i32(at + 11), b.i64(at + 15));
            case 5 -> m.onOutcome(
                    now,
                    new Outcome(
                            b.i32(at + 5),
                            b.u16(at + 9),
                            b.i32(at + 11),
                            constantAt(STATUSES, b.u16(at + 15), "outcome"),
                            b.i64(at + 17),
                            b.u8(at + 25) != 0,
                            readReport(b, at + 26, to.columns())));
            case 6 -> m.onClientDisconnected(now, b.i32(at + 5));
            case 7 -> m.onTimer(now, b.i64(at + 5));
            case 8 -> m.onProbeResult(
                    now,
                    b.i32(at + 5),
                    constantAt(STATUSES, b.u16(at + 9), "outcome"),
                    b.i64(at + 11),
                    readReport(b, at + 19, to.columns()));
            case 9 -> m.onPeerMessage(now, b.i32(at + 5), b.tailBytes(at + 9));
            default -> throw new WireException("unknown event code " + code);
        }
    }

    private static List<ListedServer> readServerList(Batch b, int at) {
        int from = b.tailPosition(at, ENTRY_BYTES);
        int n = b.i32(at + 4);
        List<ListedServer> list = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            int e = from + i * ENTRY_BYTES;
            list.add(new ListedServer(
                    b.i32(e),
                    b.u16(e + 4),
                    constantAt(STATES, b.u8(e + 6), "server state"),
                    b.i64(e + 7),
                    b.u16(e + 15),
                    b.u8(e + 17),
                    b.f32(e + 18)));
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

    private static Report readReport(Batch b, int at, int[] columns) {
        int n = b.u8(at);
        if (n > 4) {
            throw new WireException("load report of " + n + " values: at most 4 allowed");
        }
        return n == 0
                ? null
                : new Report(
                        reportValue(b, at, n, columns[0]),
                        reportValue(b, at, n, columns[1]),
                        reportValue(b, at, n, columns[2]),
                        reportValue(b, at, n, columns[3]),
                        reportValue(b, at, n, columns[4]),
                        reportValue(b, at, n, columns[5]));
    }

    private static double reportValue(Batch b, int at, int n, int column) {
        return column < 0 || column >= n ? Double.NaN : b.f32(at + 1 + 4 * column);
    }

    private static <E> E constantAt(E[] values, int i, String what) {
        if (i >= values.length) {
            throw new WireException("unknown " + what + " " + i);
        }
        return values[i];
    }
}
