package gullspar.scale;

import java.util.List;

/** The command line options of a run. */
record Options(boolean full, int port, int memoryMb, String out) {
    private static final int MIN_MB = 600, MAX_MB = 12_000, DEFAULT_MB = 6_000;

    static final String USAGE = "usage: bench/scale/run.sh [small|full] [--port N] [--memory-mb N] " + "[--out FILE]";

    static Options parse(List<String> args) throws ScaleException {
        boolean full = false;
        int port = 0;
        int memoryMb = DEFAULT_MB;
        String out = null;
        for (int i = 0; i < args.size(); i++) {
            switch (args.get(i)) {
                case "small" -> full = false;
                case "full" -> full = true;
                case "--port" -> port = intValue(args, ++i, 1, 65_535);
                case "--memory-mb" -> memoryMb = intValue(args, ++i, 1, MAX_MB);
                case "--out" -> out = stringValue(args, ++i);
                default -> throw usageError("unknown argument '" + args.get(i) + "'");
            }
        }
        if (memoryMb < MIN_MB) {
            throw new ScaleException(
                    ScaleException.MEMORY,
                    "too little memory: " + memoryMb + " MB, a run needs " + MIN_MB + " or more");
        }
        return new Options(
                full,
                port,
                memoryMb,
                out != null ? out : full ? "bench/scale/results/scale-full.json" : "target/scale-small.json");
    }

    private static String stringValue(List<String> args, int i) throws ScaleException {
        if (i >= args.size()) {
            throw usageError(args.get(i - 1) + " requires a value");
        }
        return args.get(i);
    }

    private static int intValue(List<String> args, int i, int min, int max) throws ScaleException {
        String t = stringValue(args, i);
        try {
            int n = Integer.parseInt(t);
            if (n >= min && n <= max) {
                return n;
            }
        } catch (NumberFormatException e) {
            throw usageError(args.get(i - 1) + " is not a number: '" + t + "'");
        }
        throw usageError(args.get(i - 1) + " is out of range " + min + " to " + max + ": " + t);
    }

    private static ScaleException usageError(String problem) {
        return new ScaleException(ScaleException.USAGE, problem + "; " + USAGE);
    }
}
