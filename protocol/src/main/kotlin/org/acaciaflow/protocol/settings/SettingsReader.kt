package org.acaciaflow.protocol.settings

import kotlinx.collections.immutable.persistentListOf
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.PoolName
import org.apache.commons.configuration2.INIConfiguration
import org.apache.commons.configuration2.ex.ConfigurationException
import java.io.IOException
import java.io.Reader
import java.nio.file.Files
import java.nio.file.Path

/** Reads and validates the settings files of the daemons. */
object SettingsReader {
    private const val BYTES_PER_MEBIBYTE = 1024L * 1024L
    private const val DEFAULT_EXCHANGE_WORKERS = 512
    private const val DEFAULT_BODY_LIMIT_MEBIBYTES = 64
    private const val DEFAULT_CAPACITY = 32
    private const val MODEL_ENGINE = "model-engine"
    private const val PLAIN_SERVICE = "plain-service"

    fun readGateway(file: Path): SettingsResult<GatewaySettings> = read(file, ::gateway)

    fun readSidecar(file: Path): SettingsResult<SidecarSettings> = read(file, ::sidecar)

    private fun gateway(ini: IniSettings): GatewaySettings =
        GatewaySettings(
            callers = ini.address("gateway", "callers"),
            operators = ini.address("gateway", "operators"),
            dataCentre = DataCentre(ini.text("gateway", "data-centre")),
            store = ini.address("platform", "store"),
            hostList = ini.address("platform", "host-list"),
            exchangeWorkers = ini.integer("limits", "exchange-workers", 1..MAXIMUM_WORKERS, DEFAULT_EXCHANGE_WORKERS),
            bodyLimitBytes =
                BYTES_PER_MEBIBYTE *
                    ini.integer("limits", "body-mebibytes", 1..MAXIMUM_BODY_MEBIBYTES, DEFAULT_BODY_LIMIT_MEBIBYTES),
        )

    private fun sidecar(ini: IniSettings): SidecarSettings =
        SidecarSettings(
            links = ini.address("sidecar", "links"),
            operators = ini.address("sidecar", "operators"),
            dataCentre = DataCentre(ini.text("sidecar", "data-centre")),
            pool = PoolName(ini.text("sidecar", "pool")),
            store = ini.address("platform", "store"),
            backend = ini.address("backend", "address"),
            probePath = ini.text("backend", "probe-path"),
            capacity = ini.integer("backend", "capacity", 1..MAXIMUM_WORKERS, DEFAULT_CAPACITY),
            isModelEngine = ini.choice("backend", "kind", listOf(MODEL_ENGINE, PLAIN_SERVICE)) == MODEL_ENGINE,
        )

    private fun <Settings> read(
        file: Path,
        build: (IniSettings) -> Settings,
    ): SettingsResult<Settings> =
        try {
            Files.newBufferedReader(file).use { parse(it, build) }
        } catch (failure: IOException) {
            unreadable(file, failure)
        } catch (failure: ConfigurationException) {
            unreadable(file, failure)
        }

    private fun <Settings> parse(
        reader: Reader,
        build: (IniSettings) -> Settings,
    ): SettingsResult<Settings> {
        val source = INIConfiguration()
        source.read(reader)
        val ini = IniSettings(source)
        val settings = build(ini)
        val faults = ini.faults()
        return if (faults.isEmpty()) SettingsResult.Valid(settings) else SettingsResult.Faulty(faults)
    }

    private fun unreadable(
        file: Path,
        failure: Exception,
    ): SettingsResult.Faulty {
        val detail = "${failure::class.simpleName}: ${failure.message}"
        return SettingsResult.Faulty(persistentListOf(SettingsFault.Unreadable(file.toString(), detail)))
    }

    private const val MAXIMUM_WORKERS = 65_536
    private const val MAXIMUM_BODY_MEBIBYTES = 1024
}
