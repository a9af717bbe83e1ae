import java.util.concurrent.ThreadFactory;

/** Threads that do not keep the process alive. */
final class Threads2 {
    static final ThreadFactory DAEMON =
            task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            };

    private Threads2() {}

    /** Waits until a time of the timeline. */
    static void sleepUntil(Timeline timeline, double seconds) throws InterruptedException {
        double left = seconds - timeline.seconds();
        if (left > 0) {
            Thread.sleep((long) (left * 1_000));
        }
    }
}
