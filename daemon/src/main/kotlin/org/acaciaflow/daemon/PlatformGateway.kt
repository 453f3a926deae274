package org.acaciaflow.daemon

import org.acaciaflow.coordination.clock.createSteadyClock
import org.acaciaflow.platform.PlatformSettings
import org.acaciaflow.protocol.settings.SettingsResult
import org.acaciaflow.transport.process.createEntryGatewayDaemon
import java.nio.file.Path
import kotlin.random.Random

/** Runs a gateway whose settings file the platform provides. */
internal object PlatformGateway {
    /** Runs until SIGTERM; prints the faults of missing or invalid settings and returns [EXIT_FAULTY_SETTINGS]. */
    fun run(): Int {
        val file = System.getenv(PlatformSettings.FILE_VARIABLE)
        if (file == null) {
            System.err.println("no settings file: pass --settings or set ${PlatformSettings.FILE_VARIABLE}")
            return EXIT_FAULTY_SETTINGS
        }
        when (val result = PlatformSettings.read(Path.of(file))) {
            is SettingsResult.Faulty -> {
                result.faults.forEach { System.err.println(it) }
                return EXIT_FAULTY_SETTINGS
            }

            is SettingsResult.Valid -> {
                val settings = result.settings
                runUntilTerminated(
                    createEntryGatewayDaemon(settings, platformAdapters(settings), createSteadyClock(), Random.Default),
                )
            }
        }
    }
}
