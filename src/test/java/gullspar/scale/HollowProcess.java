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
 * A process with many hollow proxies or many hollow members of the fleet view. It reads commands line by line from
 * standard input, answers each with one line and exits at the end of the input. "Hollow" means the daemon's own
 * code without clients, many instances to a process.
 */
public final class HollowProcess {
    private static final int HEAP_SAMPLES = 4, HEAP_SAMPLE_INTERVAL_MS = 30;
    static final String ANSWER_PREFIX = "= ";

    private HollowProcess() {}

    /** Handles the commands for the hollow instances of this process. */
    interface CommandHandler {
        /** Returns the answer to a command, null if the command is unknown. */
        String handle(String[] words) throws IOException, ConfigException;
    }

    /** args: "proxies" and the path of their configuration file, or "members". */
    public static void main(String[] args) throws IOException, ConfigException, InterruptedException {
        System.setProperty("io.netty.jfr.enabled", "false");
        CommandHandler handler = args[0].equals("proxies") ? new HollowProxies(Path.of(args[1])) : new HollowMembers();
        reply("ready");
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String[] command = line.split(" ");
            String answer = command[0].equals("heap") ? Long.toString(heapBytes()) : handler.handle(command);
            reply(answer != null ? answer : "unknown command: " + Arrays.toString(command));
        }
        Runtime.getRuntime().halt(0);
    }

    /** The prefix tells an answer from other output of the process. */
    private static void reply(String answer) {
        System.out.println(ANSWER_PREFIX + answer);
    }

    /** Returns the heap in use after a collection, in bytes: the smallest of several samples. */
    private static long heapBytes() throws InterruptedException {
        long smallest = Long.MAX_VALUE;
        for (int i = 0; i < HEAP_SAMPLES; i++) {
            System.gc(); // may be ignored, and garbage of the meantime stays: hence several samples
            smallest = Math.min(
                    smallest,
                    ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
            Thread.sleep(HEAP_SAMPLE_INTERVAL_MS);
        }
        return smallest;
    }
}
