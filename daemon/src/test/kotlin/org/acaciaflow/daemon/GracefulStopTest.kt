package org.acaciaflow.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Runs a gateway in a separate process. */
class GracefulStopTest : AnnotationSpec() {
    @Test
    fun `a gateway logs its shutdown on SIGTERM and exits with status 0`() {
        val folder = Files.createTempDirectory("graceful-stop")
        val log = folder.resolve("log")
        val process = start(settingsIn(folder, freePorts()), log)
        awaitLine(log, "AF1001")

        process.destroy()
        val exited = process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)

        if (!exited) process.destroyForcibly()
        exited shouldBe true
        process.exitValue() shouldBe 0
        log.readText() shouldContain "AF1002"
        log.readText() shouldContain "AF1003"
    }

    /**
     * Guards against requests that are read and dropped between the last idle moment and the end of the process.
     *
     * The clients keep their connections, are silent after SIGTERM, and send again when the gateway has found itself
     * idle. One request may cross the close of its connection.
     */
    @Test
    fun `a stopping gateway answers each request on a kept connection until the connection is closed`() {
        val folder = Files.createTempDirectory("graceful-stop")
        val log = folder.resolve("log")
        val ports = freePorts()
        val process = start(settingsIn(folder, ports), log)
        awaitLine(log, "AF1001")
        val threads = Executors.newFixedThreadPool(CLIENTS)
        val clients = List(CLIENTS) { KeptConnection(ports.first()) }
        clients.map { it.call() } shouldBe clients.map { CallResult.ANSWERED }

        process.destroy()
        Thread.sleep(SILENCE_MILLISECONDS)
        val calls =
            clients.map { client ->
                Thread.sleep(CALL_GAP_MILLISECONDS)
                CompletableFuture.supplyAsync(client::call, threads)
            }
        val results = calls.map { it.join() }
        threads.shutdown()

        clients.forEach { it.close() }
        val exited = process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)
        if (!exited) process.destroyForcibly()
        println("calls of a stopping gateway: ${results.groupingBy { it }.eachCount()}")
        process.exitValue() shouldBe 0
        results.count { it == CallResult.DROPPED } shouldBeLessThanOrEqual 1
    }

    private fun start(
        settings: Path,
        log: Path,
    ): Process {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val builder = ProcessBuilder(java, "-cp", System.getProperty("java.class.path"), MAIN_CLASS, "gateway")
        builder.environment()["ACACIAFLOW_NODE_FILE"] = settings.toString()
        return builder.redirectErrorStream(true).redirectOutput(log.toFile()).start()
    }

    private fun awaitLine(
        log: Path,
        text: String,
    ) {
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS)
        while (text !in log.readText()) {
            check(System.nanoTime() < deadline) { "no $text in the log: ${log.readText()}" }
            Thread.sleep(POLL_MILLISECONDS)
        }
    }

    private fun settingsIn(
        folder: Path,
        ports: List<Int>,
    ): Path {
        val document =
            """
            {"node_name": "front-1", "ip": "127.0.0.1", "zone": "suba", "seeds": [],
             "listen": {"front": "127.0.0.1:${ports[0]}", "ready": "127.0.0.1:${ports[1]}"},
             "internal_ports": [${ports[2]}, ${ports[3]}], "platform": {"address": "127.0.0.1:${ports[4]}"},
             "bounds": {"retry_budget_ratio": 0.2, "retry_budget_slack": 56, "retry_window_s": 10, "grace_s": 8}}
            """
        return folder.resolve("settings.json").apply { writeText(document) }
    }

    private fun freePorts(): List<Int> {
        val sockets = List(PORTS) { ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")) }
        return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
    }

    private companion object {
        const val MAIN_CLASS = "org.acaciaflow.daemon.MainKt"
        const val PORTS = 5
        const val CLIENTS = 20
        const val SILENCE_MILLISECONDS = 3_630L // the load balancer's notice and the idle time that a stop waits for
        const val CALL_GAP_MILLISECONDS = 20L
        const val START_SECONDS = 60L
        const val STOP_SECONDS = 30L
        const val POLL_MILLISECONDS = 50L
    }
}
