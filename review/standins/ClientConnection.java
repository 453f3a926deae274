import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection, which sends one request at a time. */
final class ClientConnection implements AutoCloseable {
    private final Socket socket = new Socket();
    private final BufferedInputStream in;

    ClientConnection(String address, int readTimeoutMs) throws IOException {
        int colon = address.lastIndexOf(':');
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(readTimeoutMs);
        socket.connect(new InetSocketAddress(address.substring(0, colon),
            Integer.parseInt(address.substring(colon + 1))), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String method, String path, String headers, String body) throws IOException {
        String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
        String head = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\n" + headers + length + "\r\n";
        socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads an answer; null when the connection ended without one. */
    HttpMessage read() throws IOException {
        return HttpMessage.read(in, true);
    }

    /** Sends a request and describes its answer: a status, "broken", "closed" or "none" within the read timeout. */
    String call(String method, String path, String headers, String body) {
        try {
            send(method, path, headers, body);
            HttpMessage answer = read();
            if (answer == null) return "closed";
            return answer.complete ? String.valueOf(answer.status()) : "broken";
        } catch (java.net.SocketTimeoutException late) {
            return "none";
        } catch (IOException closed) {
            return "closed";
        }
    }

    /** Makes one call on a new connection. */
    static String once(String address, int timeoutMs, String method, String path, String headers, String body) {
        try (ClientConnection connection = new ClientConnection(address, timeoutMs)) {
            return connection.call(method, path, headers, body);
        } catch (IOException refused) {
            return "refused";
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
