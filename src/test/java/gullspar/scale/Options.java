package gullspar.scale;

import java.util.List;

/** What a run was asked for. */
record Options(boolean full, int port, int memoryMb, String out) {
    private static final int LEAST_MB = 600, MOST_MB = 12_000, USUAL_MB = 6_000;

    static final String USAGE = "usage: bench/scale/run.sh [small|full] [--port N] [--memory-mb N] " + "[--out FILE]";

    static Options of(List<String> args) throws ScaleException {
        boolean full = false;
        int port = 0;
        int memoryMb = USUAL_MB;
        String out = null;
        for (int i = 0; i < args.size(); i++) {
            switch (args.get(i)) {
                case "small" -> full = false;
                case "full" -> full = true;
                case "--port" -> port = number(args, ++i, 1, 65_535);
                case "--memory-mb" -> memoryMb = number(args, ++i, 1, MOST_MB);
                case "--out" -> out = text(args, ++i);
                default -> throw wrong("unknown argument '" + args.get(i) + "'");
            }
        }
        if (memoryMb < LEAST_MB) {
            throw new ScaleException(
                    ScaleException.MEMORY,
                    "too little memory: " + memoryMb + " MB, a run needs " + LEAST_MB + " at the least");
        }
        return new Options(
                full,
                port,
                memoryMb,
                out != null ? out : full ? "bench/scale/results/scale-full.json" : "target/scale-small.json");
    }

    private static String text(List<String> args, int i) throws ScaleException {
        if (i >= args.size()) {
            throw wrong(args.get(i - 1) + " wants a value");
        }
        return args.get(i);
    }

    private static int number(List<String> args, int i, int least, int most) throws ScaleException {
        String t = text(args, i);
        try {
            int n = Integer.parseInt(t);
            if (n >= least && n <= most) {
                return n;
            }
        } catch (NumberFormatException e) {
            throw wrong(args.get(i - 1) + " is no number: '" + t + "'");
        }
        throw wrong(args.get(i - 1) + " is not within " + least + " to " + most + ": " + t);
    }

    private static ScaleException wrong(String what) {
        return new ScaleException(ScaleException.USAGE, what + "; " + USAGE);
    }
}
