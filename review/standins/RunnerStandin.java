import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A runner: reads requests one after the other from each connection and leaves the answers to a handler. */
final class RunnerStandin implements AutoCloseable {
    /** Answers a request; returning false closes the connection. */
    interface Handler {
        boolean answer(HttpMessage request, Exchange exchange) throws Exception;
    }

    final String id;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    RunnerStandin(String id, Handler handler) throws IOException {
        this.id = id;
        server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        start("runner " + id, () -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                start("connection of " + id, () -> serve(socket, handler));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void serve(Socket socket, Handler handler) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Exchange exchange = new Exchange(id, socket);
            while (true) {
                HttpMessage request = HttpMessage.read(in, false);
                if (request == null || !request.complete) return;
                String expected = request.header("Expect-Instance");
                if (expected != null && !expected.equals(id)) {
                    exchange.write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id + "\r\nRequest-Id: "
                        + request.header("Request-Id") + "\r\nContent-Length: 0\r\n\r\n");
                } else if (!handler.answer(request, exchange)) {
                    return;
                }
            }
        } finally {
            open.remove(socket);
        }
    }

    /** Ends the runner at once: resets its connections and accepts no others. */
    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : open) {
            try {
                socket.setSoLinger(true, 0);
            } catch (SocketException closed) {
                continue;
            }
            socket.close();
        }
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception ended) {
                // The peer or the test has closed the socket.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Task {
        void run() throws Exception;
    }

    /** The connection on which a request came in. */
    static final class Exchange {
        final Socket socket;
        private final String runner;
        private final OutputStream out;

        Exchange(String runner, Socket socket) throws IOException {
            this.runner = runner;
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        synchronized void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        synchronized void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        /** The head of an answer without the empty line that ends it. */
        String head(HttpMessage request, String status) {
            return "HTTP/1.1 " + status + "\r\nRequest-Id: " + request.header("Request-Id") + "\r\nServer-Stamp: stamp."
                + runner + "." + request.header("Request-Id") + "\r\n";
        }

        void answer(HttpMessage request, String status, String body) throws IOException {
            write(head(request, status) + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /** The answer of a runner that has not run the request. */
        String rejection(HttpMessage request) {
            return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + request.header("Request-Id")
                + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        }
    }
}
