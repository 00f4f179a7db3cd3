package gullspar.scale;

import gullspar.proxy.config.ConfigException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * A process with many hollow proxies, or many members of the view of the fleet, told what to do by lines on
 * its standard input; it answers each with one line, and ends when the input does.
 */
public final class HollowProcess {
    private static final int HEAP_SAMPLES = 4, HEAP_SAMPLE_INTERVAL_MS = 30;
    static final String ANSWER_PREFIX = "= ";

    private HollowProcess() {}

    /** What is hollow here. */
    interface CommandHandler {
        /** Answers a command; null if it knows none such. */
        String handle(String[] words) throws IOException, ConfigException;
    }

    /** args: "proxies" and the file of their configuration, or "members". */
    public static void main(String[] args) throws IOException, ConfigException, InterruptedException {
        System.setProperty("io.netty.jfr.enabled", "false");
        CommandHandler handler = args[0].equals("proxies") ? new HollowProxies(Path.of(args[1])) : new HollowMembers();
        reply("here");
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String[] command = line.split(" ");
            String answer = command[0].equals("heap") ? Long.toString(heapBytes()) : handler.handle(command);
            reply(answer != null ? answer : "unknown: " + Arrays.toString(command));
        }
        Runtime.getRuntime().halt(0);
    }

    /** An answer stands out from whatever else the process writes. */
    private static void reply(String answer) {
        System.out.println(ANSWER_PREFIX + answer);
    }

    /** What is in use after a collection, in bytes. */
    private static long heapBytes() throws InterruptedException {
        long smallest = Long.MAX_VALUE;
        for (int i = 0; i < HEAP_SAMPLES; i++) {
            System.gc(); // may be passed over, and what dies meanwhile is there still
            smallest = Math.min(
                    smallest,
                    ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
            Thread.sleep(HEAP_SAMPLE_INTERVAL_MS);
        }
        return smallest;
    }
}
