package org.acaciaflow.transport.process

import org.acaciaflow.coordination.port.CallerDialect
import org.acaciaflow.coordination.port.ChangeFeed
import org.acaciaflow.coordination.port.LeasedWrites
import org.acaciaflow.coordination.port.LineageDocuments
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StoredDocuments
import org.acaciaflow.coordination.port.StreamRecords
import org.acaciaflow.protocol.dialect.BackendDialect
import org.acaciaflow.protocol.dialect.HttpCalls
import org.acaciaflow.protocol.dialect.RehearsalScript
import org.acaciaflow.protocol.http.RefusalEncoder

/** The platform-specific protocols and encodings that an entry gateway uses. */
data class EntryGatewayAdapters(
    val callers: CallerDialect,
    val refusals: RefusalEncoder,
    val backends: BackendDialect,
    val documents: StoredDocuments,
    val rehearsal: RehearsalScript,
    val registrationKey: StoreKey,
    val openStore: (PlatformStoreClients) -> PlatformStorePorts,
)

/** HTTP clients for a gateway's calls to the store: [kept] keeps its connections, [single] opens one for each call. */
data class PlatformStoreClients(
    val kept: HttpCalls,
    val single: HttpCalls,
)

/** A gateway's read and write access to the platform's store. */
data class PlatformStorePorts(
    val changes: ChangeFeed,
    val writes: LeasedWrites,
    val records: StreamRecords,
    val lineages: LineageDocuments,
)
