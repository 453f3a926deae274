import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Three of six model runners send, for some seconds, a twentieth of their event streams with an event that does not end. */
public class EndlessEvent {
    private static final int CHATS = 220;
    private static final int CHAT_GAP_MS = 37; // the sheet of cuadros-bog has 27.1 thread queries a second
    private static final int CHAT_TIMEOUT_MS = 6_000;
    private static final int LOOKUPS = 90;
    private static final int LOOKUP_GAP_MS = 183; // 5.47 a second
    private static final int LOOKUP_TIMEOUT_MS = 1_000;
    private static final int FAULT_MS = 5_000;
    private static final int CHUNK_BYTES = 4;
    private static final int RUNNERS = 6;
    private static final int FAULTY_RUNNERS = 3;
    private static final int BROKEN_EVERY = 20; // one in so many answers of the faulty runners

    /** Requests that lasted longer than their route's timeout_ms, and those without an answer half a second later. */
    private static final AtomicInteger LASTED = new AtomicInteger();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();

    /** Connections on which the faulty runner has sent bytes without end. */
    private static final Set<Socket> BROKEN_ANSWERS = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) throws Exception {
        Scene scene = new Scene(arguments[0]);
        try {
            play(scene);
        } catch (IOException | InterruptedException failure) {
            scene.end(Scene.NOT_RUN, "NOT RUN: " + failure);
        }
    }

    private static void play(Scene scene) throws IOException, InterruptedException {
        AtomicBoolean faulty = new AtomicBoolean();
        AtomicInteger answers = new AtomicInteger();
        List<RunnerStandin> models = new ArrayList<>();
        for (int i = 1; i <= RUNNERS; i++) {
            String name = "i-model-" + i;
            boolean mayBeFaulty = i <= FAULTY_RUNNERS;
            models.add(new RunnerStandin(name, (request, exchange) -> {
                if (!mayBeFaulty || !faulty.get() || answers.incrementAndGet() % BROKEN_EVERY != 0) {
                    return stream(request, exchange);
                }
                scene.note(name + " answers with an event that does not end: " + request.header("Request-Id"));
                return eventWithoutEnd(request, exchange, faulty);
            }));
        }
        RunnerStandin plain = new RunnerStandin("i-plain-1", (request, exchange) -> {
            exchange.answer(request, "200 OK", "record");
            return true;
        });
        StoreStandin store = new StoreStandin();
        store.put("op/config", Documents.configuration(7,
            List.of(Documents.plainRoute("lookup", "idempotent", "register", 2, LOOKUP_TIMEOUT_MS),
                Documents.streamRoute("chat", "models", 1, CHAT_TIMEOUT_MS, 200, 0, false)),
            List.of(Documents.plainService("register"), Documents.modelService("models"))));
        for (RunnerStandin runner : models) {
            store.put("servers/" + runner.id, Scene.engineEntry(runner, "models", 64, "decode", 1_000));
        }
        store.put("servers/i-plain-1", Scene.entry(plain, "register", 6, "ready", 1_000));
        GatewayProcess gateway = new GatewayProcess("gateway-1", store.address(), scene.folder);
        if (!gateway.awaitReady(20)) {
            scene.end(Scene.NOT_RUN, "NOT RUN: the gateway is not ready; see " + gateway.log);
            return;
        }
        List<Thread> calls = new ArrayList<>();
        calls.add(RunnerStandin.start("lookups", () -> {
            List<Thread> lookups = new ArrayList<>();
            for (int i = 0; i < LOOKUPS; i++) {
                String id = scene.nextId();
                lookups.add(RunnerStandin.start("client", () -> call(scene, gateway, "lookup", "GET", id,
                    Scene.headers(id, LOOKUP_TIMEOUT_MS), "", LOOKUP_TIMEOUT_MS)));
                Thread.sleep(LOOKUP_GAP_MS);
            }
            for (Thread lookup : lookups) lookup.join();
        }));
        Thread.sleep(3_000);
        calls.add(RunnerStandin.start("fault", () -> {
            Thread.sleep(1_000);
            faulty.set(scene.trouble);
            scene.note("three model runners are faulty: " + scene.trouble);
            Thread.sleep(FAULT_MS);
            faulty.set(false);
            for (Socket socket : BROKEN_ANSWERS) socket.close();
            scene.note("all runners are sound again, and have closed the connections of those answers");
        }));
        for (int i = 0; i < CHATS; i++) {
            String id = scene.nextId();
            calls.add(RunnerStandin.start("client", () -> call(scene, gateway, "chat", "POST", id,
                Scene.generation(id, CHAT_TIMEOUT_MS), "prompt", CHAT_TIMEOUT_MS)));
            Thread.sleep(CHAT_GAP_MS);
        }
        for (Thread call : calls) call.join();
        scene.note("gateway alive: " + gateway.alive() + ", ready: " + gateway.ready());
        gateway.close();
        boolean broken = UNANSWERED.get() >= 8 && UNANSWERED.get() * 4 > LASTED.get();
        scene.end(broken ? Scene.BROKEN : Scene.HELD, (broken ? "BROKEN: " : "HELD: ") + UNANSWERED + " of " + LASTED
            + " requests that lasted longer than their route's timeout_ms have no answer half a second after it");
    }

    private static void call(Scene scene, GatewayProcess gateway, String route, String method, String id, String headers,
        String body, int timeoutMs) {
        long sentAt = System.nanoTime();
        String answer = ClientConnection.once(gateway.front, timeoutMs + 500, method, "/" + route + "/" + id, headers, body);
        long lastedMs = (System.nanoTime() - sentAt) / 1_000_000;
        scene.note(route + " " + id + " -> " + answer + " after " + lastedMs + " ms");
        if (lastedMs > timeoutMs) LASTED.incrementAndGet();
        if (answer.equals("none")) UNANSWERED.incrementAndGet();
    }

    /** A sound stream of twenty events within 400 ms. */
    private static boolean stream(HttpMessage request, RunnerStandin.Exchange exchange) throws Exception {
        exchange.write(streamHead(request, exchange));
        for (int i = 1; i <= 20; i++) {
            exchange.write(chunk("id: " + i + "\ndata: token\n\n"));
            Thread.sleep(20);
        }
        exchange.write("0\r\n\r\n");
        return true;
    }

    /** Bytes that are no answer, until the gateway closes the connection or the fault is over. */
    private static boolean eventWithoutEnd(HttpMessage request, RunnerStandin.Exchange exchange, AtomicBoolean faulty)
        throws Exception {
        BROKEN_ANSWERS.add(exchange.socket);
        exchange.write(streamHead(request, exchange));
        String chunks = chunk("x".repeat(CHUNK_BYTES)).repeat(500);
        while (faulty.get()) exchange.write(chunks);
        return false;
    }

    private static String streamHead(HttpMessage request, RunnerStandin.Exchange exchange) {
        return exchange.head(request, "200 OK")
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    private static String chunk(String bytes) {
        return Integer.toHexString(bytes.length()) + "\r\n" + bytes + "\r\n";
    }
}
