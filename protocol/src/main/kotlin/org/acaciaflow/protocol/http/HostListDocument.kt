package org.acaciaflow.protocol.http

import kotlinx.serialization.Serializable
import org.acaciaflow.coordination.port.ListedHost
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.parseHostAddress

/** The platform's list of hosts in JSON. */
@Serializable
data class HostListDocument(
    val hosts: List<HostDocument>,
)

/** One host; [sidecar] is `ip:port`. */
@Serializable
data class HostDocument(
    val sidecar: String,
    val dataCentre: String,
    val leaving: Boolean = false,
)

/** The listed hosts; entries with a malformed address are left out. */
fun HostListDocument.toHosts(): List<ListedHost> =
    hosts.mapNotNull { host ->
        parseHostAddress(host.sidecar)?.let { ListedHost(it, DataCentre(host.dataCentre), host.leaving) }
    }
