package org.acaciaflow.daemon

import java.net.InetAddress
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** A gateway in a process of its own, with the stack and heap limits of the deploy file. */
internal class GatewayProcess(
    storePort: Int,
) : AutoCloseable {
    private val folder = Files.createTempDirectory("gateway-process")
    private val ports = freePorts()
    private val log = folder.resolve("log")
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val process: Process

    init {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val builder =
            ProcessBuilder(
                listOf(java, "-Xmx160m", "-Xss256k", "-XX:+UseSerialGC", "-XX:+ExitOnOutOfMemoryError") +
                    listOf("-cp", System.getProperty("java.class.path"), "org.acaciaflow.daemon.MainKt", "gateway"),
            )
        builder.environment()["ACACIAFLOW_NODE_FILE"] =
            folder.resolve("settings.json").apply { writeText(settings(storePort)) }.toString()
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start()
    }

    /** Calls [path] of the callers' host [host] and returns the status. */
    fun call(
        path: String,
        requestId: String,
    ): Int {
        val request =
            HttpRequest
                .newBuilder(URI("http://127.0.0.1:${ports[0]}$path"))
                .header("Request-Id", requestId)
                .header("Deadline-Ms", "3000")
                .POST(HttpRequest.BodyPublishers.ofString("claim"))
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString()).statusCode()
    }

    /** The status of the readiness check; 0 while nothing listens. */
    fun readiness(): Int =
        try {
            val request = HttpRequest.newBuilder(URI("http://127.0.0.1:${ports[1]}/-/readyz")).build()
            client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode()
        } catch (_: java.io.IOException) {
            0
        }

    fun log(): String = log.readText()

    /** Waits until the gateway is ready. */
    fun awaitReady() {
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS)
        while (readiness() != READY) {
            check(System.nanoTime() < deadline) { "the gateway is not ready: ${log()}" }
            Thread.sleep(POLL_MILLISECONDS)
        }
    }

    override fun close() {
        process.destroyForcibly().waitFor(STOP_SECONDS, TimeUnit.SECONDS)
    }

    private fun settings(storePort: Int): String =
        """
        {"node_name": "front-1", "ip": "127.0.0.1", "zone": "suba", "seeds": [],
         "listen": {"front": "127.0.0.1:${ports[0]}", "ready": "127.0.0.1:${ports[1]}"},
         "internal_ports": [${ports[2]}, ${ports[3]}], "platform": {"address": "127.0.0.1:$storePort"},
         "bounds": {"retry_budget_ratio": 0.2, "retry_budget_slack": 56, "retry_window_s": 10, "grace_s": 8}}
        """

    private fun freePorts(): List<Int> {
        val sockets = List(PORTS) { ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")) }
        return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
    }

    private companion object {
        const val PORTS = 4
        const val READY = 200
        const val START_SECONDS = 60L
        const val STOP_SECONDS = 10L
        const val POLL_MILLISECONDS = 100L
    }
}
