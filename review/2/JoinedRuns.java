import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A runner of a service without model runners crashes while it answers streams that may be resumed. */
public class JoinedRuns {
    private static final int RUNNERS = 4;
    private static final int STREAMS = 60;
    private static final int GAP_MS = 50;
    private static final int BACK_AFTER_MS = 1_400;
    private static final int EVENTS = 24;
    private static final int EVENT_GAP_MS = 50;
    private static final int TIMEOUT_MS = 8_000;

    private static final AtomicInteger WRONG = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Scene scene = new Scene(arguments[0]);
        try {
            play(scene);
        } catch (IOException | InterruptedException failure) {
            scene.end(Scene.NOT_RUN, "NOT RUN: " + failure);
        }
    }

    private static void play(Scene scene) throws IOException, InterruptedException {
        AtomicBoolean crashed = new AtomicBoolean();
        List<RunnerStandin> runners = new ArrayList<>();
        for (int i = 1; i <= RUNNERS; i++) {
            String name = "i-desk-" + i;
            AtomicBoolean ends = i == 1 ? crashed : new AtomicBoolean();
            runners.add(new RunnerStandin(name, (request, exchange) -> stream(scene, name, request, exchange, ends)));
        }
        StoreStandin store = new StoreStandin();
        store.put("op/config", Documents.configuration(7,
            List.of(Documents.streamRoute("compare", "desk", 2, TIMEOUT_MS, 1_200, 2, true)),
            List.of(Documents.plainService("desk"))));
        for (RunnerStandin runner : runners) {
            store.put("servers/" + runner.id, Scene.entry(runner, "desk", 64, "ready", 1_000));
        }
        GatewayProcess gateway = new GatewayProcess("gateway-1", store.address(), scene.folder);
        if (!gateway.awaitReady(20)) {
            scene.end(Scene.NOT_RUN, "NOT RUN: the gateway is not ready; see " + gateway.log);
            return;
        }
        List<Thread> calls = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String id = scene.nextId();
            calls.add(RunnerStandin.start("client", () -> call(scene, gateway, id)));
            Thread.sleep(GAP_MS);
            if (i == STREAMS / 2 + BACK_AFTER_MS / GAP_MS && scene.trouble) {
                runners.add(new RunnerStandin("i-desk-5", (request, exchange) ->
                    stream(scene, "i-desk-5", request, exchange, new AtomicBoolean())));
                store.remove("servers/i-desk-1");
                store.put("servers/i-desk-5", Scene.entry(runners.get(RUNNERS), "desk", 64, "ready", 2_000));
                scene.note("the crashed runner is back as i-desk-5");
            }
            if (i == STREAMS / 2 && scene.trouble) {
                crashed.set(true);
                scene.note("i-desk-1 crashes: its connections are reset, and it accepts no others");
                runners.get(0).close();
            }
        }
        for (Thread call : calls) call.join();
        gateway.close();
        boolean broken = WRONG.get() > 0;
        scene.end(broken ? Scene.BROKEN : Scene.HELD, (broken ? "BROKEN: " : "HELD: ") + WRONG + " of " + STREAMS
            + " streams reached their clients with pieces that are missing, come twice or belong to two runs");
    }

    private static void call(Scene scene, GatewayProcess gateway, String id) throws IOException {
        try (ClientConnection connection = new ClientConnection(gateway.front, TIMEOUT_MS + 500)) {
            connection.send("POST", "/compare/" + id, Scene.generation(id, TIMEOUT_MS), "prompt");
            HttpMessage answer = connection.read();
            if (answer == null) {
                scene.note("compare " + id + " -> closed");
                return;
            }
            String pieces = answer.text().replaceAll("id: (\\d+)\\s+data: token\\s+", "$1 ").trim();
            scene.note("compare " + id + " -> " + answer.status() + (answer.complete ? ", whole" : ", broken off")
                + ", signed " + answer.header("Server-Stamp") + ", pieces " + pieces);
            if (answer.status() != 200) return;
            boolean inOrder = inOrder(pieces) && (!answer.complete || pieces.endsWith(" " + EVENTS));
            if (!inOrder) WRONG.incrementAndGet();
        }
    }

    /** True if [pieces] are the first ones of a run, each of them once. */
    private static boolean inOrder(String pieces) {
        int expected = 1;
        for (String piece : pieces.split(" ")) {
            if (!piece.isEmpty() && !piece.equals(String.valueOf(expected++))) return false;
        }
        return true;
    }

    /** Sends the events after Last-Event-Id; ends without notice when the runner crashes. */
    private static boolean stream(Scene scene, String runner, HttpMessage request, RunnerStandin.Exchange exchange,
        AtomicBoolean crashed) throws Exception {
        String last = request.header("Last-Event-Id");
        scene.note("run at " + runner + ": " + request.header("Request-Id") + ", Last-Event-Id " + last);
        exchange.write(exchange.head(request, "200 OK")
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
            if (crashed.get()) return false;
            String event = "id: " + i + "\ndata: token\n\n";
            exchange.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            Thread.sleep(EVENT_GAP_MS);
        }
        exchange.write("0\r\n\r\n");
        return true;
    }
}
