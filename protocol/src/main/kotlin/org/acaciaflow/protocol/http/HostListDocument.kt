package org.acaciaflow.protocol.http

import kotlinx.serialization.Serializable
import org.acaciaflow.coordination.port.ListedHost
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

/** Converts the document to hosts, skipping entries with a malformed address. */
fun HostListDocument.toHosts(): List<ListedHost> =
    hosts.mapNotNull { host ->
        parseHostAddress(host.sidecar)?.let { ListedHost(it, DataCentre(host.dataCentre), host.leaving) }
    }
