import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's store: items with revisions, watches, conditional writes and leases. */
final class StoreStandin implements AutoCloseable {
    private record Item(String key, byte[] value, long revision, long created, long lease) {
        String json() {
            return "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value) + "\",\"revision\":"
                + revision + ",\"create_revision\":" + created + ",\"lease\":" + lease + "}";
        }
    }

    private record Change(String key, long revision, String json) {}

    private final HttpServer server;
    private final ExecutorService threads;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private long revision = 1;
    private long leases = 100;

    StoreStandin() throws IOException {
        threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        });
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 128);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        RunnerStandin.start("leases", () -> {
            while (true) {
                Thread.sleep(200);
                expire();
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized void put(String key, String value) {
        put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    synchronized void put(String key, byte[] value, long lease) {
        Item former = items.get(key);
        revision++;
        Item item = new Item(key, value, revision, former == null ? revision : former.created(), lease);
        items.put(key, item);
        history.add(new Change(key, revision, item.json()));
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        revision++;
        history.add(new Change(key, revision, "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"tombstone\":true}"));
        notifyAll();
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        leaseEnds.forEach((lease, end) -> {
            if (end < now) ended.add(lease);
        });
        for (long lease : ended) {
            leaseEnds.remove(lease);
            List<String> keys = new ArrayList<>();
            for (Item item : items.values()) if (item.lease() == lease) keys.add(item.key());
            keys.forEach(this::remove);
        }
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        try {
            if (path.equals("/-/kv-key")) key(exchange, query.get("key"));
            else if (path.equals("/-/kv-range")) range(exchange, query);
            else if (path.equals("/-/kv-watch")) watch(exchange, query);
            else if (path.equals("/-/kv-txn")) transaction(exchange, Json.object(body));
            else if (path.equals("/-/kv-lease")) grant(exchange, Json.object(body));
            else if (path.startsWith("/-/kv-keep/")) keep(exchange, Long.parseLong(path.substring(11)));
            else if (path.startsWith("/-/kv-lease-end/")) end(exchange, Long.parseLong(path.substring(16)));
            else answer(exchange, 404, "{}");
        } catch (InterruptedException stopped) {
            exchange.close();
        }
    }

    private synchronized void key(HttpExchange exchange, String key) throws IOException {
        Item item = items.get(key);
        if (item == null) answer(exchange, 404, "{}");
        else answer(exchange, 200, item.json().replaceFirst("}$", ",\"as_of\":" + revision + "}"));
    }

    private synchronized void range(HttpExchange exchange, Map<String, String> query) throws IOException {
        List<String> found = new ArrayList<>();
        boolean more = false;
        for (Item item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
            if (!item.key().startsWith(query.getOrDefault("prefix", ""))) continue;
            if (found.size() == 500) {
                more = true;
                break;
            }
            found.add(item.json());
        }
        String list = String.join(",", found);
        answer(exchange, 200, "{\"items\":[" + list + "],\"has_more\":" + more + ",\"as_of\":" + revision + "}");
    }

    private synchronized void watch(HttpExchange exchange, Map<String, String> query)
        throws IOException, InterruptedException {
        long after = Long.parseLong(query.get("after"));
        String prefix = query.getOrDefault("prefix", "");
        long end = System.currentTimeMillis() + Math.min(30_000, Long.parseLong(query.get("wait_ms")));
        while (true) {
            List<String> found = new ArrayList<>();
            for (Change change : history) {
                if (change.revision() > after && change.key().startsWith(prefix)) found.add(change.json());
            }
            long left = end - System.currentTimeMillis();
            if (!found.isEmpty() || left <= 0) {
                String list = String.join(",", found);
                answer(exchange, 200, "{\"events\":[" + list + "],\"as_of\":" + revision + "}");
                return;
            }
            wait(left);
        }
    }

    private synchronized void transaction(HttpExchange exchange, Map<String, Object> document) throws IOException {
        List<String> current = new ArrayList<>();
        boolean holds = true;
        for (Object row : Json.asList(document.get("expected"))) {
            Map<String, Object> expected = Json.asObject(row);
            Item item = items.get((String) expected.get("key"));
            if (item != null) current.add(item.json());
            if ((item == null ? 0 : item.revision()) != ((Double) expected.get("revision")).longValue()) holds = false;
        }
        if (!holds) {
            answer(exchange, 412, "{\"items\":[" + String.join(",", current) + "]}");
            return;
        }
        for (Object row : Json.asList(document.get("writes"))) {
            Map<String, Object> write = Json.asObject(row);
            long lease = write.get("lease") == null ? 0 : ((Double) write.get("lease")).longValue();
            if (lease != 0 && !leaseEnds.containsKey(lease)) {
                answer(exchange, 404, "{}");
                return;
            }
            put((String) write.get("key"), Base64.getDecoder().decode((String) write.get("value")), lease);
        }
        for (Object key : Json.asList(document.get("remove"))) remove((String) key);
        answer(exchange, 200, "{\"revision\":" + revision + "}");
    }

    private final Map<Long, Long> leaseTimes = new HashMap<>();

    private synchronized void grant(HttpExchange exchange, Map<String, Object> document) throws IOException {
        long lease = ++leases;
        long time = ((Double) document.get("ttl_ms")).longValue();
        leaseTimes.put(lease, time);
        leaseEnds.put(lease, System.nanoTime() + time * 1_000_000);
        answer(exchange, 200, "{\"lease\":" + lease + ",\"ttl_ms\":" + time + "}");
    }

    private synchronized void keep(HttpExchange exchange, long lease) throws IOException {
        if (!leaseEnds.containsKey(lease)) {
            answer(exchange, 404, "{}");
            return;
        }
        leaseEnds.put(lease, System.nanoTime() + leaseTimes.get(lease) * 1_000_000);
        answer(exchange, 200, "{\"ttl_ms\":" + leaseTimes.get(lease) + "}");
    }

    private synchronized void end(HttpExchange exchange, long lease) throws IOException {
        leaseEnds.put(lease, 0L);
        answer(exchange, 200, "{}");
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> result = new HashMap<>();
        if (raw == null) return result;
        for (String pair : raw.split("&")) {
            int equals = pair.indexOf('=');
            if (equals < 0) continue;
            result.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return result;
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
