package org.acaciaflow.protocol.http

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.acaciaflow.coordination.port.ListedHost
import org.acaciaflow.protocol.json.decodeForeign
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.parseHostAddress

/** JSON form of the platform's host list. */
@Serializable
data class HostListDocument(
    val hosts: List<HostDocument>,
)

/** JSON form of one host; [sidecar] is the address of its sidecar as `ip:port`. */
@Serializable
data class HostDocument(
    val sidecar: String,
    val dataCentre: String,
    val leaving: Boolean = false,
)

/** The hosts of a list that could be decoded, and the number of those that could not. */
data class DecodedHostList(
    val hosts: PersistentList<ListedHost>,
    val unreadable: Int,
)

/**
 * Decodes the platform's host list; each host is decoded by itself.
 *
 * @throws SerializationException if [text] is not a host list at all.
 */
fun decodeHostList(text: String): DecodedHostList {
    val received = json.decodeForeign(ReceivedHostList.serializer(), text).hosts
    val hosts = received.mapNotNull(::hostOrNull).toPersistentList()
    return DecodedHostList(hosts, unreadable = received.size - hosts.size)
}

/** A [HostListDocument] whose hosts may be malformed. */
@Serializable
private data class ReceivedHostList(
    val hosts: List<JsonElement>,
)

private fun hostOrNull(element: JsonElement): ListedHost? =
    try {
        val host = json.decodeFromJsonElement(HostDocument.serializer(), element)
        parseHostAddress(host.sidecar)?.let { ListedHost(it, DataCentre(host.dataCentre), host.leaving) }
    } catch (_: IllegalArgumentException) {
        null
    }

private val json = Json { ignoreUnknownKeys = true }
