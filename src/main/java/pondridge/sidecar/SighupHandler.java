package pondridge.sidecar;

import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Installs a handler for SIGHUP. The JDK's signal API is only in {@code sun.misc}, whose use gives a compiler
 * warning that can't be turned off; for that reason its classes are looked up at run time.
 */
final class SighupHandler {
    private SighupHandler() { }

    /**
     * Runs {@code action} on a thread of the JVM at each SIGHUP. If the handler can't be installed, that is
     * logged, and SIGHUP ends the process.
     */
    static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, arguments) -> dispatch(proxy, method, arguments, action));
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handlerProxy);
        } catch (ReflectiveOperationException e) {
            System.err.println("pondridge: SIGHUP will end this process: " + e);
        }
    }

    /** Handles the method calls on the proxy that implements {@code sun.misc.SignalHandler}. */
    private static Object dispatch(Object proxy, Method method, Object[] arguments, Runnable action) {
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
