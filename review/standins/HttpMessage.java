import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A request or an answer as read from a connection. */
final class HttpMessage {
    String startLine;
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];

    /** False when the connection ended before the message was complete. */
    boolean complete;

    String header(String name) {
        return headers.get(name);
    }

    String method() {
        return startLine.split(" ")[0];
    }

    String target() {
        return startLine.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reads a message; null when the connection ends before its first byte. */
    static HttpMessage read(InputStream in, boolean answer) throws IOException {
        HttpMessage message = new HttpMessage();
        message.startLine = line(in);
        if (message.startLine == null) return null;
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            String coding = message.header("Transfer-Encoding");
            String length = message.header("Content-Length");
            if (coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked")) {
                readChunks(in, body);
            } else if (length != null) {
                copy(in, body, Integer.parseInt(length));
            } else if (answer) {
                in.transferTo(body);
            }
            message.complete = true;
        } catch (IOException broken) {
            message.complete = false;
        }
        message.body = body.toByteArray();
        return message;
    }

    private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line(in);
            if (size == null) throw new EOFException();
            int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
            copy(in, body, bytes);
            String end = line(in);
            if (end == null) throw new EOFException();
            if (bytes == 0) return;
        }
    }

    private static void copy(InputStream in, ByteArrayOutputStream body, int bytes) throws IOException {
        byte[] buffer = new byte[16 * 1024];
        int left = bytes;
        while (left > 0) {
            int count = in.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) throw new EOFException();
            body.write(buffer, 0, count);
            left -= count;
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
