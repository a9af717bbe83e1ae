package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** Engines are upgraded in place, one after the other, while the store is down. */
final class UpgradeInOutage extends Case {
    private static final String HOST = "notes.example";
    private static final String KEY = "key-macon";
    private static final double OUTAGE_S = 5.3;
    private static final int REQUEST_GAP_MILLIS = 375;
    private static final double DOWN_S = 0.8;
    private static final double GAP_S = 2;
    private static final int EVENTS = 100;
    private static final int EVENT_GAP_MILLIS = 30;
    private static final int ALLOWED = 2;

    private final List<Caller.Answer> mAnswers = new CopyOnWriteArrayList<>();

    public static void main(String[] arguments) {
        new UpgradeInOutage().play(arguments);
    }

    /** An engine that writes its version into each event. */
    private static final class Engine extends Worker {
        Engine(String id, String zone, String stage, PlatformStore store, CaseRecord record)
                throws IOException {
            super(id, "notes", zone, stage, 40, 0, store, record);
        }

        @Override
        boolean run(HttpMessage request, Socket socket) throws IOException {
            if ("prefill".equals(request.header("Fuchsiaford-Stage"))) {
                return super.run(request, socket);
            }
            recordRun(request);
            String version = version();
            String last = request.header("Last-Event-Id");
            OutputStream out = socket.getOutputStream();
            out.write(
                    Bytes.of(
                            head(
                                    200,
                                    request,
                                    signature(request)
                                            + "Content-Type: text/event-stream\r\n"
                                            + "Transfer-Encoding: chunked\r\n",
                                    -1)));
            int first = last == null ? 1 : Integer.parseInt(last) + 1;
            for (int event = first; event <= EVENTS; event++) {
                Threads.sleep(EVENT_GAP_MILLIS / 1e3);
                String text = "id: " + event + "\ndata: version " + version + "\n\n";
                out.write(Bytes.of(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            }
            out.write(Bytes.of("0\r\n\r\n"));
            return true;
        }
    }

    @Override
    boolean isBroken(boolean trouble) throws IOException {
        Deployment deployment = deployment(3);
        PlatformStore store = deployment.store();
        List<Worker> engines = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            String stage = i == 4 ? "prefill" : "decode";
            String zone = Deployment.ZONES.get(i % 3);
            engines.add(new Engine("engine-" + i, zone, stage, store, record()));
        }
        Map<String, Object> route =
                Deployment.route(HOST, "/note/", "streaming", 14_000, 900, "notes", 2);
        route.put("resumable", true);
        deployment.roll(
                Deployment.manifest(
                        1,
                        List.of(route),
                        List.of(Deployment.engineService("notes")),
                        List.of(Deployment.workspace("macon", KEY))),
                "the first");
        deployment.start();
        Threads.sleep(6);
        for (EntryProcess host : deployment.hosts()) {
            Threads.start(
                    () -> {
                        while (true) {
                            Threads.start(() -> ask(deployment, host));
                            Thread.sleep(REQUEST_GAP_MILLIS);
                        }
                    });
        }
        Threads.sleep(5);
        if (trouble) {
            Threads.start(() -> store.outage(OUTAGE_S));
        }
        Threads.sleep(0.3);
        for (Worker engine : engines.subList(0, 2)) {
            engine.restart("2.0", DOWN_S);
            Threads.sleep(GAP_S - DOWN_S);
        }
        Threads.sleep(10);
        return judge();
    }

    private void ask(Deployment deployment, EntryProcess host) {
        Caller.Answer answer =
                deployment
                        .caller()
                        .send(
                                host.callers(),
                                "POST",
                                HOST,
                                "/note/1",
                                KEY,
                                14_000,
                                "Fuchsiaford-Model: m\r\nFuchsiaford-Token-Counts: 5000,100\r\n"
                                        + "Fuchsiaford-Prompt-Prefix: "
                                        + Long.toHexString(System.nanoTime())
                                        + ":5000\r\n");
        record().line(
                "client: %s sent at %.3f to %s: %d, %d events of version 1.0, %d of version 2.0",
                answer.id(), answer.sentSecond(), host.name(), answer.status(),
                count(answer, "1.0"), count(answer, "2.0"));
        mAnswers.add(answer);
    }

    private static int count(Caller.Answer answer, String version) {
        return answer.text().split("data: version " + version, -1).length - 1;
    }

    private boolean judge() {
        long joined =
                mAnswers.stream()
                        .filter(answer -> count(answer, "1.0") > 0 && count(answer, "2.0") > 0)
                        .count();
        record().line(
                "streams that hold events of two software versions: %d of %d",
                joined, mAnswers.size());
        return joined > ALLOWED;
    }
}
