import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** An entry among the runners that cannot be read is followed by a change of the configuration and by a restart. */
public class UnreadableEntry {
    private static final int ENTRY_BYTES = 4_096; // the store takes 1,048,576
    private static final int CALLS = 10;
    private static final int TIMEOUT_MS = 1_000;
    private static final int CONFIG_APPLY_MS = 2_000;
    private static final int STABLE_WINDOW_MS = 3_000;
    private static final int RECOVERY_MS = 12_000;

    public static void main(String[] arguments) throws Exception {
        Scene scene = new Scene(arguments[0]);
        try {
            play(scene);
        } catch (IOException | InterruptedException failure) {
            scene.end(Scene.NOT_RUN, "NOT RUN: " + failure);
        }
    }

    private static void play(Scene scene) throws IOException, InterruptedException {
        Map<String, String> ranAt = new ConcurrentHashMap<>();
        RunnerStandin old = runner("i-old", scene, ranAt);
        RunnerStandin successor = runner("i-new", scene, ranAt);
        StoreStandin store = new StoreStandin();
        store.put("op/config", configuration(7, "register"));
        store.put("servers/i-old", Scene.entry(old, "register", 6, "ready", 1_000));
        store.put("servers/i-new", Scene.entry(successor, "register-next", 6, "ready", 1_000));
        GatewayProcess gateway = new GatewayProcess("gateway-1", store.address(), scene.folder);
        if (!gateway.awaitReady(20)) {
            scene.end(Scene.NOT_RUN, "NOT RUN: the gateway is not ready; see " + gateway.log);
            return;
        }
        fileClaims(scene, gateway, "before");
        if (scene.trouble) {
            byte[] unreadable = new byte[ENTRY_BYTES];
            Arrays.fill(unreadable, (byte) '[');
            store.put("servers/i-foreign", unreadable, 0);
            scene.note("another writer has put " + ENTRY_BYTES + " bytes that can't be read under servers/i-foreign");
        }
        Thread.sleep(STABLE_WINDOW_MS + 1_000);
        store.put("op/config", configuration(9, "register-next"));
        scene.note("the store has acknowledged version 9: claims go to register-next from now on");
        Thread.sleep(CONFIG_APPLY_MS + 1_000);
        ranAt.clear();
        fileClaims(scene, gateway, "under version 9");
        long stale = ranAt.values().stream().filter("i-old"::equals).count();
        scene.note(stale + " claims sent over config_apply_ms after that were run by the old service");

        gateway.close();
        scene.note("final fault: the process was killed");
        Thread.sleep(1_200);
        GatewayProcess restarted = new GatewayProcess("gateway-2", store.address(), scene.folder);
        scene.note("the process is started again");
        Thread.sleep(RECOVERY_MS + 1_000);
        ranAt.clear();
        int served = fileClaims(scene, restarted, "after recovery_s");
        scene.note("ready after the restart: " + restarted.ready() + ", alive: " + restarted.alive());
        restarted.close();
        boolean broken = stale > 0 || served * 4 < CALLS;
        scene.end(broken ? Scene.BROKEN : Scene.HELD, (broken ? "BROKEN: " : "HELD: ") + stale + " of " + CALLS
            + " claims were run by the old service; after the restart " + served + " of " + CALLS + " were served");
    }

    private static RunnerStandin runner(String id, Scene scene, Map<String, String> ranAt) throws IOException {
        return new RunnerStandin(id, (request, exchange) -> {
            scene.note("run at " + id + ": " + request.header("Request-Id"));
            ranAt.put(request.header("Request-Id"), id);
            exchange.answer(request, "200 OK", "filed");
            return true;
        });
    }

    private static int fileClaims(Scene scene, GatewayProcess gateway, String when) throws InterruptedException {
        int served = 0;
        for (int i = 0; i < CALLS; i++) {
            String id = scene.nextId();
            String answer = ClientConnection.once(gateway.front, TIMEOUT_MS + 500, "POST", "/claim/" + id,
                Scene.headers(id, TIMEOUT_MS), "sett");
            scene.note(when + ": claim " + id + " -> " + answer);
            if (answer.equals("200")) served++;
            Thread.sleep(100);
        }
        return served;
    }

    private static String configuration(int version, String service) {
        return Documents.configuration(version,
            List.of(Documents.plainRoute("claim", "non_idempotent", service, 1, TIMEOUT_MS)),
            List.of(Documents.plainService("register"), Documents.plainService("register-next")));
    }
}
