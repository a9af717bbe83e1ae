package org.fuchsiaford.entry.gateway;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import org.jboss.logging.Logger;

/**
 * Runs a task on SIGHUP instead of terminating the process. The signal class of the Java runtime is
 * accessed by reflection, since the compiler warns of any direct use. Stateless, hence thread-safe.
 */
final class HangupSignal {
    private static final Logger LOG = Logger.getLogger(HangupSignal.class);

    private HangupSignal() {}

    static void handle(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            InvocationHandler call =
                    (proxy, method, arguments) -> {
                        if (method.getDeclaringClass() == Object.class) {
                            return method.invoke(task, arguments);
                        }
                        task.run();
                        return null;
                    };
            Object proxy =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(), new Class<?>[] {handler}, call);
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ReflectiveOperationException e) {
            LOG.warnf(
                    "cannot install a SIGHUP handler, SIGHUP terminates the process: %s",
                    e.getMessage());
        }
    }
}
