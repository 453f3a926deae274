package org.acaciaflow.coordination.port

import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.route.RoutingConfiguration

/** Tells what the documents in the platform's store mean. */
interface StoredDocuments {
    /** Says what [key] holds. */
    fun kindOf(key: StoreKey): StoredKeyKind

    /** Reads the entry of a backend server that registered as [instance]. */
    fun readEntry(
        instance: String,
        document: ByteString,
    ): Decoded<BackendEntry>

    /** Reads a configuration of routes and services. */
    fun readConfiguration(document: ByteString): Decoded<RoutingConfiguration>
}

/** What a key of the store holds. */
sealed interface StoredKeyKind {
    data object Configuration : StoredKeyKind

    data class Backend(
        val instance: String,
    ) : StoredKeyKind

    /** A gateway that can be reached at [address]. */
    data class Gateway(
        val address: String,
    ) : StoredKeyKind

    data object Other : StoredKeyKind
}

/** A document that was read, or why it could not be. */
sealed interface Decoded<out Value> {
    data class Valid<out Value>(
        val value: Value,
    ) : Decoded<Value>

    data class Invalid(
        val fault: DocumentFault,
    ) : Decoded<Nothing>
}

/** What is wrong with a document; [detail] names the field or the parser's finding. */
data class DocumentFault(
    val detail: String,
)
