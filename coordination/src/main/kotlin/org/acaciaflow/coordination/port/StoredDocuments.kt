package org.acaciaflow.coordination.port

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.route.RoutingConfiguration
import org.acaciaflow.state.stream.HostBase
import org.acaciaflow.state.stream.PoolBase

/** Decodes the documents in the platform's store. */
interface StoredDocuments {
    /** Returns the kind of document that [key] holds. */
    fun kindOf(key: StoreKey): StoredKeyKind

    /** Decodes the entry of a backend server that registered as [instance]. */
    fun readEntry(
        instance: String,
        document: ByteString,
    ): Decoded<BackendEntry>

    /** Decodes a configuration of routes and services. */
    fun readConfiguration(document: ByteString): Decoded<RoutingConfiguration>

    /** Decodes the base of a pool. */
    fun readBase(document: ByteString): Decoded<PoolBase>

    /** Decodes the base of a host. */
    fun readHostBase(document: ByteString): Decoded<HostBase>
}

/** Kind of document under a key of the store. */
sealed interface StoredKeyKind {
    data object Configuration : StoredKeyKind

    data class Backend(
        val instance: String,
    ) : StoredKeyKind

    /** A gateway that can be reached at [address]. */
    data class Gateway(
        val address: String,
    ) : StoredKeyKind

    /** The base of [pool]. */
    data class Lineage(
        val pool: PoolName,
    ) : StoredKeyKind

    /** The base of [host]. */
    data class HostLineage(
        val host: String,
    ) : StoredKeyKind

    data object Other : StoredKeyKind
}

/** A decoded document, or why it could not be decoded. */
sealed interface Decoded<out Value> {
    data class Valid<out Value>(
        val value: Value,
    ) : Decoded<Value>

    data class Invalid(
        val fault: DocumentFault,
    ) : Decoded<Nothing>
}

/** Reason for rejecting a document; [detail] is the faulty field or the parser's message. */
data class DocumentFault(
    val detail: String,
)
