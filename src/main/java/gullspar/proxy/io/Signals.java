package gullspar.proxy.io;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Signals that must not end the process. The runtime offers no public way to hear of SIGHUP, whose default is
 * to end it, so the class that most runtimes have is looked up by name.
 */
public final class Signals {
    /** What a process says that does not hear of SIGHUP. */
    public static final String HUP_UNAVAILABLE = "SIGHUP is not heard: it is ignored where this was started (nohup?), "
            + "or the runtime cannot hear it; the configuration is read again when its file has changed";

    private Signals() {}

    /**
     * Calls the action at each such signal, on a thread of its own; false if that is not to be had: the
     * runtime has no such class, or the process was started where the signal is ignored (nohup, a trap),
     * which the runtime leaves as it is.
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
