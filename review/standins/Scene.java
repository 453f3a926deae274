import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;

/** What the cases share: the record, request ids, documents of the store, and the exit status. */
final class Scene {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final AtomicLong ids = new AtomicLong(0x5c1e07a2L);

    Scene(String recordFile) throws IOException {
        folder = Files.createTempDirectory("acaciaflow-review");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        note("disruption: " + (trouble ? "on" : "off"));
    }

    synchronized void note(String line) {
        record.printf("%9.3f %s%n", (System.nanoTime() - startedAt) / 1e9, line);
    }

    String nextId() {
        return String.format("%016x", ids.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    /** The headers of a request with [id]. */
    static String headers(String id, int deadlineMs) {
        return "Request-Id: " + id + "\r\nDeadline-Ms: " + deadlineMs + "\r\n";
    }

    /** The headers of a generation with a prompt of its own. */
    static String generation(String id, int deadlineMs) {
        return headers(id, deadlineMs) + "Model: m\r\nToken-Counts: 600,20\r\nPrompt-Prefix: " + id.substring(0, 8)
            + ":600\r\n";
    }

    /** A store entry of a runner of a plain service. */
    static String entry(RunnerStandin runner, String service, int slots, String state, long born) {
        return entryStart(runner, service, slots, state) + ",\"born\":" + born + ",\"sequence\":1}";
    }

    /** A store entry of a model runner. */
    static String engineEntry(RunnerStandin runner, String service, int slots, String stage, long born) {
        return entryStart(runner, service, slots, "ready") + ",\"stage\":\"" + stage
            + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"born\":" + born + ",\"sequence\":1}";
    }

    private static String entryStart(RunnerStandin runner, String service, int slots, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + runner.address()
            + "\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
            + "\",\"cold_remaining_ms\":0";
    }

    /** Ends the case with [status]; the gateways' settings and logs are kept only if it could not run. */
    void end(int status, String verdict) throws IOException {
        note(verdict);
        record.close();
        System.out.println(verdict);
        if (status != NOT_RUN) {
            try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
                for (Path file : files) Files.delete(file);
            }
            Files.delete(folder);
        }
        System.exit(status);
    }
}
