package review;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The store comes back from a copy some seconds old, after a holder has given an order. Then the
 * last prefill engine is taken away, so that an order is needed again.
 */
final class DrillOrders extends Case {
    private static final String HOLDER_KEY = "/fuchsiaford/order-holder";
    private static final double COPY_BEFORE_HOLDER_S = 2.9;
    private static final double JOIN_S = 3;
    private static final double AWAY_S = 0.5;
    private static final double CONTACT_S = 3;
    private static final double POLL_S = 0.05;
    private static final long COLD_MILLIS = 11_500;

    private record Backup(double second, PlatformStore.Copy copy) {}

    public static void main(String[] arguments) {
        new DrillOrders().play(arguments);
    }

    @Override
    boolean isBroken(boolean trouble) throws IOException {
        Deployment deployment = deployment(3);
        PlatformStore store = deployment.store();
        List<Worker> engines = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            engines.add(engine(i, i == 4 ? "prefill" : "decode", store));
        }
        List<Worker> desks = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            String zone = Deployment.ZONES.get(i % 3);
            desks.add(
                    new Worker(
                            "desk-" + i, "desk", zone, null, 40, COLD_MILLIS, store, record()));
        }
        deployment.roll(
                Deployment.manifest(
                        1,
                        List.of(
                                Deployment.route(
                                        "notes.example", "/note/", "streaming", 14_000, 900,
                                        "notes", 1)),
                        List.of(
                                Deployment.engineService("notes"),
                                Deployment.plainService("desk")),
                        List.of(Deployment.workspace("macon", "key-macon"))),
                "the first");
        deployment.start();
        Threads.sleep(JOIN_S);
        record().line("engine-5, a second prefill engine, joins");
        engines.add(engine(5, "prefill", store));
        PlatformStore.Copy copy = awaitFirstOrder(store, engines);
        if (trouble) {
            store.drill(copy, AWAY_S);
            engines.forEach(Worker::registerAgain);
            desks.forEach(Worker::registerAgain);
        }
        Threads.sleep(CONTACT_S + 2);
        record().line("engine-4, the last prefill engine, is taken away");
        engines.get(3).leave();
        for (double waited = 0; waited < 30 && orders(engines) < 2; waited += POLL_S) {
            Threads.sleep(POLL_S);
        }
        return judge(engines);
    }

    private Worker engine(int number, String stage, PlatformStore store) throws IOException {
        String zone = Deployment.ZONES.get(number % 3);
        return new Worker("engine-" + number, "notes", zone, stage, 40, 0, store, record());
    }

    /** Waits until an order was carried out and its holder has released; returns a backup. */
    private PlatformStore.Copy awaitFirstOrder(PlatformStore store, List<Worker> engines)
            throws IOException {
        Deque<Backup> backups = new ArrayDeque<>();
        PlatformStore.Copy chosen = null;
        double chosenSecond = 0;
        for (int tries = 0; tries < 40 / POLL_S; tries++) {
            boolean isHeld = store.revisionOf(HOLDER_KEY) > 0;
            if (!isHeld && chosen != null && orders(engines) > 0) {
                record().line(
                        "store: the holder's record is gone; the backup of %.1f s before is of"
                                + " revision %d",
                        record().seconds() - chosenSecond, chosen.revision());
                return chosen;
            }
            if (!isHeld) {
                backups.add(new Backup(record().seconds(), store.copy()));
                chosen = null;
            } else if (chosen == null) {
                record().line(
                        "store: the holder's record is written at revision %d",
                        store.revisionOf(HOLDER_KEY));
                double wanted = record().seconds() - COPY_BEFORE_HOLDER_S;
                Backup backup =
                        backups.stream()
                                .filter(b -> b.second() <= wanted)
                                .reduce((first, second) -> second)
                                .orElse(backups.getFirst());
                chosen = backup.copy();
                chosenSecond = backup.second();
            }
            Threads.sleep(POLL_S);
        }
        throw new IOException("no order was given");
    }

    private static int orders(List<Worker> engines) {
        return engines.stream().mapToInt(engine -> engine.orders().size()).sum();
    }

    private boolean judge(List<Worker> engines) {
        boolean broken = false;
        for (Worker engine : engines) {
            long highest = 0;
            for (Worker.Run order : engine.orders()) {
                if (order.fence() < highest) {
                    broken = true;
                    record().line(
                            "worker %s: fencing token %d after %d",
                            engine.id(), order.fence(), highest);
                }
                highest = Math.max(highest, order.fence());
            }
        }
        return broken;
    }
}
