package gullspar.proxy.operator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import gullspar.proxy.io.ClassArchive;
import gullspar.proxy.io.LoopStatistics;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;
import java.util.function.IntToLongFunction;

/**
 * The metrics at one moment. written: attempts whose last byte was sent to a backend; unexpectedBytes: how often a
 * backend sent bytes that belong to no response; pending: requests accepted and not yet ended; members and
 * unavailable: backends in the list, and those of them that get no new requests; loop: statistics of the event loop,
 * null where they are not collected; descriptors: those of connections.
 */
public record StatusReport(
        List<String> classes,
        RequestCounters counters,
        long written,
        long unexpectedBytes,
        int pending,
        int members,
        int unavailable,
        LoopStatistics loop,
        Descriptors descriptors) {
    /** Descriptors counted as held, by side. */
    public record Descriptors(int clients, int backends) {}

    private static final JsonFactory JSON = new JsonFactory();

    /**
     * The metrics as one JSON object. Written field by field: loading an ObjectMapper takes a small proxy half a
     * second.
     */
    public String json() {
        StringWriter text = new StringWriter();
        try (JsonGenerator to = JSON.createGenerator(text)) {
            to.writeStartObject();
            writeByClass(to, "completed", counters::completed);
            writeByClass(to, "rejected", counters::rejected);
            writeByClass(to, "failed", counters::failed);
            to.writeNumberField("upstream_requests", written);
            to.writeNumberField("upstream_unexpected_bytes", unexpectedBytes);
            to.writeNumberField("pending", pending);
            to.writeNumberField("members", members);
            to.writeNumberField("members_unavailable", unavailable);
            to.writeNumberField("descriptors_clients", descriptors.clients());
            to.writeNumberField("descriptors_backends", descriptors.backends());
            to.writeNumberField("config_reloads", counters.reloads());
            to.writeNumberField("config_reload_errors", counters.reloadErrors());
            to.writeStringField(
                    "class_archive", ClassArchive.ofThisProcess().name().toLowerCase(Locale.ROOT));
            if (loop != null) {
                writeLoop(to);
            }
            to.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // cannot happen with a StringWriter
        }
        return text.toString();
    }

    private void writeLoop(JsonGenerator to) throws IOException {
        to.writeObjectFieldStart("loop");
        to.writeNumberField("turns", loop.turns());
        to.writeNumberField("empty_turns", loop.emptyTurns());
        to.writeNumberField("served", loop.served());
        to.writeNumberField("postponed", loop.postponed());
        to.writeNumberField("standstills", loop.standstills());
        to.writeNumberField("longest_standstill_ms", loop.longestStandstillNs() / 1_000_000);
        to.writeEndObject();
    }

    private void writeByClass(JsonGenerator to, String name, IntToLongFunction count) throws IOException {
        to.writeObjectFieldStart(name);
        for (int i = 0; i < classes.size(); i++) {
            to.writeNumberField(classes.get(i), count.applyAsLong(i));
        }
        to.writeEndObject();
    }
}
