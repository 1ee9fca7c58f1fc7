package pondridge.sidecar;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * What SIGHUP does. Java names signals only in {@code sun.misc}, which compiles with a warning that can't be
 * turned off; looked up at run time it is the same class.
 */
final class SighupHandler {
    private SighupHandler() { }

    /** Runs {@code action} at each SIGHUP, on a thread of the JVM's own, instead of ending the process. */
    static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object calls = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, arguments) -> answer(proxy, method, arguments, action));
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), calls);
        } catch (ReflectiveOperationException e) {
            System.err.println("pondridge: SIGHUP will end this process: " + e);
        }
    }

    private static Object answer(Object proxy, Method method, Object[] arguments, Runnable action) {
        return switch (method.getName()) {
            case "handle" -> {
                action.run();
                yield null;
            }
            case "equals" -> proxy == arguments[0];
            case "hashCode" -> System.identityHashCode(proxy);
            default -> "SighupHandler";
        };
    }
}
