package gullspar.proxy.io;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Signals that must not end the process. The runtime offers no public way to hear of SIGHUP, whose default is
 * to end it, so the class that most runtimes have is looked up by name.
 */
public final class Signals {
    private Signals() { }

    /** Calls the action at each such signal, on a thread of its own; false if that is not to be had. */
    public static boolean on(String name, Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler call = (self, method, arguments) -> switch (method.getName()) {
                case "handle" -> {
                    action.run();
                    yield null;
                }
                case "equals" -> self == arguments[0];
                case "hashCode" -> System.identityHashCode(self);
                default -> "handler of SIG" + name;
            };
            signal.getMethod("handle", signal, handler).invoke(null,
                    signal.getConstructor(String.class).newInstance(name),
                    Proxy.newProxyInstance(Signals.class.getClassLoader(), new Class<?>[] {handler}, call));
            return true;
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            return false;
        }
    }
}
