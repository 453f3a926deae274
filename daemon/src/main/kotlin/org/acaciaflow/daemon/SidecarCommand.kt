package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import org.acaciaflow.coordination.clock.createSteadyClock
import org.acaciaflow.protocol.settings.SettingsReader
import org.acaciaflow.transport.process.createSidecarDaemon

/** `acaciaflow sidecar --settings FILE`: runs a sidecar until SIGTERM. */
internal class SidecarCommand : CoreCliktCommand(name = "sidecar") {
    private val settings by option("--settings", help = "The INI file of this sidecar.").path().required()

    override fun help(context: Context): String =
        "Runs a sidecar beside its backend server until SIGTERM. Example: acaciaflow sidecar --settings sidecar.ini"

    override fun run() {
        val sidecarSettings = settingsOrExit(SettingsReader.readSidecar(settings))
        runUntilTerminated(createSidecarDaemon(sidecarSettings, createSteadyClock()))
    }
}
