package gullspar.proxy.backend;

import gullspar.proxy.io.Log;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;

/** Counts attempts without a whole response by their reason, for one log line per period. */
public final class ResponseFailureLog {
    /** The attempts that failed for one reason since the last line. */
    private static final class Count {
        private final String first;
        private int attempts;

        Count(String first) {
            this.first = first;
        }
    }

    private final Map<ResponseFailure, Count> counts = new EnumMap<>(ResponseFailure.class);

    /**
     * Counts one attempt.
     *
     * @param requestId the id of its request
     * @param backend the address of its backend
     * @param status the status of the final response whose head was received; 0 if none was
     */
    public void count(ResponseFailure reason, String requestId, InetSocketAddress backend, int status) {
        Count count = counts.computeIfAbsent(
                reason,
                r -> new Count("request " + requestId + " at " + NetUtil.toSocketAddressString(backend)
                        + (status == 0 ? ", no head" : ", status " + status)));
        count.attempts++;
    }

    /** Writes one line if there was any since the last call, and resets the counts. */
    public void writeAndReset(Log log) {
        if (counts.isEmpty()) {
            return;
        }
        StringJoiner line = new StringJoiner("; ", "attempts without a whole response: ", "");
        counts.forEach((reason, count) ->
                line.add(count.attempts + " " + reason.description() + " (first: " + count.first + ")"));
        counts.clear();
        log.write(line.toString());
    }
}
