package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import kotlinx.coroutines.runBlocking
import org.acaciaflow.protocol.settings.SettingsResult
import org.acaciaflow.transport.process.Daemon
import sun.misc.Signal
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/** Returns the settings, or prints every fault and exits with [EXIT_FAULTY_SETTINGS]. */
internal fun <Settings> CoreCliktCommand.settingsOrExit(result: SettingsResult<Settings>): Settings =
    when (result) {
        is SettingsResult.Valid -> {
            result.settings
        }

        is SettingsResult.Faulty -> {
            result.faults.forEach { echo(it.toString(), err = true) }
            throw ProgramResult(EXIT_FAULTY_SETTINGS)
        }
    }

/** Prints [message] to standard error and exits with [status]. */
internal fun CoreCliktCommand.exitWith(
    message: String,
    status: Int,
): Nothing {
    echo(message, err = true)
    throw ProgramResult(status)
}

/** Runs [daemon] until SIGTERM or SIGINT, stops it gracefully and exits with status 0. */
internal fun runUntilTerminated(daemon: Daemon): Nothing {
    val terminated = CountDownLatch(1)
    // tinylog closes its writers when the JVM begins to shut down, so the daemon stops before that.
    for (name in listOf("TERM", "INT")) Signal.handle(Signal(name)) { terminated.countDown() }
    // Without a handler, SIGHUP would terminate the JVM.
    Signal.handle(Signal("HUP")) { daemon.reload() }
    runBlocking { daemon.start() }
    terminated.await()
    runBlocking { daemon.stop() }
    exitProcess(0)
}

internal const val EXIT_FAULTY_SETTINGS = 2
