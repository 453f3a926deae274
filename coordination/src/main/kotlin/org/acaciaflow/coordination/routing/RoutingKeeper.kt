package org.acaciaflow.coordination.routing

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.Decoded
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.StoredDocuments
import org.acaciaflow.state.route.RoutingConfiguration
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.Transition

/** A configuration and the document it was read from, which peers can be given. */
data class KnownRouting(
    val configuration: RoutingConfiguration,
    val document: ByteString,
) {
    companion object {
        val NONE = KnownRouting(RoutingConfiguration.NONE, ByteString())
    }
}

/** Moves the configuration of routes to higher versions only, whoever tells them. */
class RoutingKeeper(
    private val documents: StoredDocuments,
    private val routing: SharedTable<KnownRouting>,
    private val observations: Observations,
) {
    /** Takes over [document] if it can be read and its version is higher than the one in force. */
    fun offer(
        document: ByteString,
        origin: ConfigurationOrigin,
    ) {
        when (val decoded = documents.readConfiguration(document)) {
            is Decoded.Invalid -> observations.event(Event.RoutingUnreadable(origin, decoded.fault))
            is Decoded.Valid -> adopt(KnownRouting(decoded.value, document), origin)
        }
    }

    private fun adopt(
        offered: KnownRouting,
        origin: ConfigurationOrigin,
    ) {
        val version = offered.configuration.version
        val former =
            routing.transition { current ->
                val higher = version > current.configuration.version
                Transition(if (higher) offered else current, current.configuration.version)
            }
        if (version > former) observations.event(Event.RoutingAdopted(version, former, origin))
    }
}

/** Who told a configuration. */
enum class ConfigurationOrigin {
    STORE,
    PEER,
}
