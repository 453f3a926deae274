package org.acaciaflow.daemon

import org.acaciaflow.platform.PlatformSettings
import org.acaciaflow.protocol.settings.SettingsResult
import org.acaciaflow.transport.process.createEntryGatewayDaemon
import java.nio.file.Path
import kotlin.random.Random
import kotlin.time.Clock

/** A gateway whose settings the platform writes. */
internal object PlatformGateway {
    /** Runs until SIGTERM; returns [EXIT_FAULTY_SETTINGS] after the faults of its settings were printed. */
    fun run(): Int {
        val file = System.getenv(PlatformSettings.FILE_VARIABLE)
        if (file == null) {
            System.err.println("neither --settings nor ${PlatformSettings.FILE_VARIABLE} is set")
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
                    createEntryGatewayDaemon(settings, platformAdapters(settings), Clock.System, Random.Default),
                )
            }
        }
    }
}
