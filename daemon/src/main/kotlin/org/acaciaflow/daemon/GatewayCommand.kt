package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import org.acaciaflow.protocol.settings.SettingsReader
import org.acaciaflow.transport.process.createGatewayDaemon
import kotlin.random.Random
import kotlin.time.Clock

/** `acaciaflow gateway --settings FILE`. */
internal class GatewayCommand : CliktCommand(name = "gateway") {
    private val settings by option("--settings", help = "The INI file of this gateway.").path().required()

    override fun help(context: Context): String =
        "Runs a gateway on an entry host until SIGTERM. Example: acaciaflow gateway --settings gateway.ini"

    override fun run() {
        val checked = validOrExit(SettingsReader.readGateway(settings))
        runUntilTerminated(createGatewayDaemon(checked, Clock.System, Random.Default))
    }
}
