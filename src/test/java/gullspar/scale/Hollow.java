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
public final class Hollow {
    private static final int HEAP_LOOKS = 4, HEAP_PAUSE_MS = 30;
    static final String ANSWER = "= ";

    private Hollow() {}

    /** What is hollow here. */
    interface Part {
        /** Answers a command; null if it knows none such. */
        String answer(String[] words) throws IOException, ConfigException;
    }

    /** args: "proxies" and the file of their configuration, or "members". */
    public static void main(String[] args) throws IOException, ConfigException, InterruptedException {
        System.setProperty("io.netty.jfr.enabled", "false");
        Part part = args[0].equals("proxies") ? new HollowProxies(Path.of(args[1])) : new HollowMembers();
        say("here");
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String[] words = line.split(" ");
            String answer = words[0].equals("heap") ? Long.toString(heap()) : part.answer(words);
            say(answer != null ? answer : "unknown: " + Arrays.toString(words));
        }
        Runtime.getRuntime().halt(0);
    }

    /** An answer stands out from whatever else the process writes. */
    private static void say(String answer) {
        System.out.println(ANSWER + answer);
    }

    /** What is in use after a collection, in bytes. */
    private static long heap() throws InterruptedException {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < HEAP_LOOKS; i++) {
            System.gc(); // may be passed over, and what dies meanwhile is there still
            least = Math.min(
                    least,
                    ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
            Thread.sleep(HEAP_PAUSE_MS);
        }
        return least;
    }
}
