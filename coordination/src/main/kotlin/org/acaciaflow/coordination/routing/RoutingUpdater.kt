package org.acaciaflow.coordination.routing

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.Decoded
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.StoredDocuments
import org.acaciaflow.state.route.RoutingConfiguration
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.Transition

/** A routing configuration and the document it was decoded from, which is passed on to peers. */
data class KnownRouting(
    val configuration: RoutingConfiguration,
    val document: ByteString,
) {
    companion object {
        val NONE = KnownRouting(RoutingConfiguration.NONE, ByteString())
    }
}

/** Adopts routing configurations from any origin if their version is higher than the current one. */
class RoutingUpdater(
    private val documents: StoredDocuments,
    private val routing: SharedTable<KnownRouting>,
    private val observations: Observations,
) {
    /** Adopts [document] if it can be decoded and its version is higher than the current one. */
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

/** Where a configuration came from. */
enum class ConfigurationOrigin {
    STORE,
    PEER,
}
