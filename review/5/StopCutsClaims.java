import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A machine gets SIGTERM while its clients send claims on the connections that they keep. */
public class StopCutsClaims {
    private static final int CONNECTIONS = 24;
    private static final int FIRST_MS = 200; // after SIGTERM
    private static final int GAP_MS = 200;
    private static final int WORK_MS = 2_600;
    private static final int TIMEOUT_MS = 6_000;
    private static final int GRACE_MS = GatewayProcess.GRACE_S * 1_000;

    public static void main(String[] arguments) throws Exception {
        Scene scene = new Scene(arguments[0]);
        try {
            play(scene);
        } catch (IOException | InterruptedException failure) {
            scene.end(Scene.NOT_RUN, "NOT RUN: " + failure);
        }
    }

    private static void play(Scene scene) throws IOException, InterruptedException {
        Map<String, Long> ranAt = new ConcurrentHashMap<>();
        RunnerStandin runner = new RunnerStandin("i-claims-1", (request, exchange) -> {
            String id = request.header("Request-Id");
            ranAt.put(id, System.nanoTime());
            scene.note("runs: " + id);
            if (request.target().startsWith("/claim/")) Thread.sleep(WORK_MS);
            scene.note("has run: " + id);
            exchange.answer(request, "200 OK", "filed");
            return true;
        });
        StoreStandin store = new StoreStandin();
        store.put("op/config", Documents.configuration(7,
            List.of(Documents.plainRoute("claim", "non_idempotent", "register", 1, TIMEOUT_MS),
                Documents.plainRoute("lookup", "idempotent", "register", 2, TIMEOUT_MS)),
            List.of(Documents.plainService("register"))));
        store.put("servers/i-claims-1", Scene.entry(runner, "register", 64, "ready", 1_000));
        GatewayProcess gateway = new GatewayProcess("gateway-1", store.address(), scene.folder);
        if (!gateway.awaitReady(20)) {
            scene.end(Scene.NOT_RUN, "NOT RUN: the gateway is not ready; see " + gateway.log);
            return;
        }
        List<ClientConnection> connections = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            ClientConnection connection = new ClientConnection(gateway.front, TIMEOUT_MS + 500);
            String id = scene.nextId();
            if (!connection.call("GET", "/lookup/" + id, Scene.headers(id, TIMEOUT_MS), "").equals("200")) {
                scene.end(Scene.NOT_RUN, "NOT RUN: a lookup failed before the disruption");
                return;
            }
            connections.add(connection);
        }
        Thread.sleep(3_000);
        long stoppedAt = System.nanoTime();
        if (scene.trouble) gateway.terminate();
        scene.note("SIGTERM: " + scene.trouble);
        AtomicInteger lost = new AtomicInteger();
        List<Thread> calls = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            ClientConnection connection = connections.get(i);
            long sentAtMs = FIRST_MS + (long) i * GAP_MS;
            calls.add(RunnerStandin.start("client", () -> {
                Thread.sleep(sentAtMs);
                String id = scene.nextId();
                scene.note("sent: claim " + id);
                String answer = connection.call("POST", "/claim/" + id, Scene.headers(id, TIMEOUT_MS), "sett");
                long endedMs = (System.nanoTime() - stoppedAt) / 1_000_000;
                scene.note("claim " + id + " -> " + answer + ", sent " + sentAtMs + " ms and ended " + endedMs
                    + " ms after the SIGTERM, passed on: " + ranAt.containsKey(id));
                boolean unanswered = answer.equals("closed") || answer.equals("broken");
                if (unanswered && ranAt.containsKey(id) && !excused(sentAtMs, endedMs)) lost.incrementAndGet();
            }));
        }
        for (Thread call : calls) call.join();
        if (scene.trouble) scene.note("exit status of the gateway: " + gateway.awaitEnd(GatewayProcess.GRACE_S));
        gateway.close();
        boolean broken = lost.get() > 0;
        scene.end(broken ? Scene.BROKEN : Scene.HELD, (broken ? "BROKEN: " : "HELD: ") + lost
            + " claims were passed on to the runner, and their connections ended without an answer");
    }

    /** The excuses of the rule: a request of the first 3 s that was cut in the last sixth of grace_s, and the limit. */
    private static boolean excused(long sentAtMs, long endedMs) {
        return (sentAtMs <= 3_000 && endedMs >= GRACE_MS - GRACE_MS / 6) || endedMs - sentAtMs >= TIMEOUT_MS;
    }
}
