package review;

import java.io.IOException;

/** Starts daemon threads. */
final class Threads {
    /** A body that may fail, as when its connection is closed. */
    interface Body {
        void run() throws IOException, InterruptedException;
    }

    private Threads() {}

    static Thread start(Body body) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                body.run();
                            } catch (IOException | InterruptedException e) {
                                // The connection or the case has ended.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1_000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
