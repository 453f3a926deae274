package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import org.acaciaflow.coordination.clock.createSteadyClock
import org.acaciaflow.platform.PlatformSettings
import org.acaciaflow.protocol.settings.SettingsReader
import org.acaciaflow.transport.process.Daemon
import org.acaciaflow.transport.process.createGatewayDaemon
import java.nio.file.Path
import kotlin.random.Random

/** `acaciaflow gateway [--settings FILE]`: runs a gateway until SIGTERM. */
internal class GatewayCommand : CoreCliktCommand(name = "gateway") {
    private val settings by option("--settings", help = "The INI file of this gateway.").path()

    override fun help(context: Context): String =
        "Runs a gateway on an entry host until SIGTERM. Without --settings it reads the platform's settings " +
            "file, which ${PlatformSettings.FILE_VARIABLE} names. Example: acaciaflow gateway --settings gateway.ini"

    override fun run() {
        val file = settings
        if (file == null) throw ProgramResult(PlatformGateway.run())
        runUntilTerminated(createDaemonFrom(file))
    }

    private fun createDaemonFrom(file: Path): Daemon {
        val gatewaySettings = settingsOrExit(SettingsReader.readGateway(file))
        return createGatewayDaemon(gatewaySettings, createSteadyClock(), Random.Default)
    }
}
