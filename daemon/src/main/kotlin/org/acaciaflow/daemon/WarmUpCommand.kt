package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.acaciaflow.coordination.clock.createSteadyClock
import org.acaciaflow.coordination.retry.RetryBounds
import org.acaciaflow.platform.PlatformSettings
import org.acaciaflow.protocol.settings.EntryHostSettings
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.transport.process.createEntryGatewayDaemon
import java.net.HttpURLConnection
import java.net.InetAddress
import java.net.ServerSocket
import java.net.URI
import kotlin.io.path.createTempFile
import kotlin.io.path.deleteExisting
import kotlin.io.path.writeText
import kotlin.random.Random
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.seconds

/** `acaciaflow warm-up`: runs a gateway briefly, so that a build can archive the classes that it loads. */
internal class WarmUpCommand : CoreCliktCommand(name = "warm-up") {
    override fun help(context: Context): String =
        "Starts an isolated gateway on loopback, sends it a few requests and exits. A build runs it with " +
            "-XX:ArchiveClassesAtExit. Example: java -XX:ArchiveClassesAtExit=FILE -jar acaciaflow.jar warm-up"

    override fun run() {
        loadSettingsReader()
        val settings = loopbackSettings()
        val daemon = createEntryGatewayDaemon(settings, platformAdapters(settings), createSteadyClock(), Random.Default)
        runBlocking {
            daemon.start()
            delay(REHEARSAL_WAIT)
            repeat(CALLS) { callOnce(settings) }
            daemon.stop()
        }
        exitProcess(0)
    }

    /** Reads a file without settings, which loads the classes that read a gateway's settings. */
    private fun loadSettingsReader() {
        val file = createTempFile("warm-up", ".json")
        file.writeText("{}")
        PlatformSettings.read(file)
        file.deleteExisting()
    }

    private fun callOnce(settings: EntryHostSettings) {
        val paths = listOf(settings.readiness to settings.readinessPath, settings.metrics to "/metrics")
        for ((address, path) in paths + (settings.callers to "/")) {
            val connection = URI("http://$address$path").toURL().openConnection() as HttpURLConnection
            connection.setRequestProperty("Request-Id", "warm-up")
            connection.responseCode
            connection.disconnect()
        }
    }

    private fun loopbackSettings(): EntryHostSettings =
        EntryHostSettings(
            name = "warm-up",
            callers = freeAddress(),
            readiness = freeAddress(),
            readinessPath = "/ready",
            peers = freeAddress(),
            metrics = freeAddress(),
            seeds = persistentListOf(freeAddress()),
            dataCentre = DataCentre("warm-up"),
            store = freeAddress(),
            retryBounds = RetryBounds(ratio = 0.2, slack = 1.0, window = 10.seconds),
            gracePeriod = 1.seconds,
            cores = 1.0,
        )

    private fun freeAddress(): HostAddress =
        ServerSocket(0, 1, InetAddress.getByName(LOOPBACK)).use { HostAddress(LOOPBACK, it.localPort) }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val CALLS = 3
        val REHEARSAL_WAIT = 8.seconds // exceeds the longest rehearsal; a call before its end would cut it short
    }
}
