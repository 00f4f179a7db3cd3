package gullspar.proxy.io;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles signals that must not end the process. The JVM has no public API for SIGHUP, whose default action ends
 * the process, so the class that most JVMs have for it is looked up by name.
 */
public final class Signals {
    /** Logged by a process that cannot handle SIGHUP. */
    public static final String HUP_UNAVAILABLE = "SIGHUP is not handled: it was ignored when this process "
            + "was started (nohup?), or the JVM cannot handle it; the configuration is reloaded when its file changes";

    private Signals() {}

    /**
     * Runs the action at each such signal, on a new thread. Returns false if that is not possible: the JVM has no
     * such class, or the process was started with the signal ignored (nohup, a trap), which the JVM does not change.
     *
     * @param name name of the signal without the prefix SIG
     */
    public static boolean register(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler invocationHandler = (self, method, arguments) -> switch (method.getName()) {
                case "handle" -> {
                    action.run();
                    yield null;
                }
                case "equals" -> self == arguments[0];
                case "hashCode" -> System.identityHashCode(self);
                default -> "handler of SIG" + name;
            };
            Object previous = signal.getMethod("handle", signal, handler)
                    .invoke(
                            null,
                            signal.getConstructor(String.class).newInstance(name),
                            Proxy.newProxyInstance(
                                    Signals.class.getClassLoader(), new Class<?>[] {handler}, invocationHandler));
            return previous != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            return false;
        }
    }
}
