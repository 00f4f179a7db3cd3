package gullspar.proxy.backend;

import gullspar.decide.Balancer.Report;
import java.util.Arrays;
import java.util.List;

/** Parses the load that a backend reports in the header Server-Load. */
public final class LoadReport {
    /** A larger utilization is invalid; 1 is full load. */
    private static final double MAX_UTIL = 100;
    /** Larger counts, rates and latencies (in ms) are invalid. */
    private static final double MAX_COUNT = 1e6;

    private LoadReport() {}

    /** The last valid load report; null if there is none. */
    public static Report lastValid(List<String> texts) {
        Report last = null;
        for (String text : texts) {
            Report r = parse(text);
            last = r == null ? last : r;
        }
        return last;
    }

    /** Parses a load report; null if there is none or any value of it is invalid. */
    public static Report parse(String text) {
        if (text == null) {
            return null;
        }
        double[] values = new double[6];
        Arrays.fill(values, Double.NaN);
        for (String field : text.split(",")) {
            String[] pair = field.trim().split("=", 2);
            int i =
                    switch (pair[0]) {
                        case "inflight", "outstanding" -> 0;
                        case "queue", "backlog" -> 1;
                        case "util", "utilization" -> 2;
                        case "latency_ms", "recent_ms" -> 3;
                        case "qps", "throughput" -> 4;
                        case "eps", "errors_per_s" -> 5;
                        default -> -1;
                    };
            if (i >= 0) {
                try {
                    values[i] = Double.parseDouble(pair.length < 2 ? "" : pair[1]);
                } catch (NumberFormatException e) {
                    return null;
                }
                if (!(values[i] >= 0 && values[i] <= (i == 2 ? MAX_UTIL : MAX_COUNT))) {
                    return null;
                }
            }
        }
        if (Arrays.stream(values).allMatch(Double::isNaN)) {
            return null;
        }
        return new Report(values[0], values[1], values[2], values[3], values[4], values[5]);
    }
}
