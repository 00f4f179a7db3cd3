package gullspar.proxy.io;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;

/**
 * Loads and initializes classes that are first used long after the start, most of them when something fails. A class
 * whose initialization fails for want of memory stays unusable, and each later use of it throws an error.
 */
public final class ClassPreloader {
    private static final String LIST = "preloaded-classes.txt";

    private ClassPreloader() {}

    /** Loads the listed classes. One that cannot be loaded is logged: it fails at its first use at the latest. */
    public static void load(Log log) {
        try (InputStream list = ClassPreloader.class.getResourceAsStream(LIST);
                BufferedReader names = new BufferedReader(new InputStreamReader(list, StandardCharsets.US_ASCII))) {
            for (String name = names.readLine(); name != null; name = names.readLine()) {
                load(name, log);
            }
        } catch (IOException e) {
            log.write("cannot read the list of classes to load: " + e);
        }
    }

    private static void load(String name, Log log) {
        try {
            Class.forName(name, true, ClassPreloader.class.getClassLoader());
        } catch (ClassNotFoundException | LinkageError e) {
            log.write("cannot load " + name + ": " + e);
        }
    }
}
