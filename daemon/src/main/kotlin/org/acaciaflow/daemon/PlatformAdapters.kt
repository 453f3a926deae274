package org.acaciaflow.daemon

import org.acaciaflow.platform.PlatformBackendDialect
import org.acaciaflow.platform.PlatformCallerDialect
import org.acaciaflow.platform.PlatformDocuments
import org.acaciaflow.platform.PlatformRehearsal
import org.acaciaflow.platform.PlatformStore
import org.acaciaflow.platform.PlatformStreamRecords
import org.acaciaflow.protocol.settings.EntryHostSettings
import org.acaciaflow.transport.process.EntryGatewayAdapters
import org.acaciaflow.transport.process.PlatformStorePorts

/** Creates the adapters for the platform's protocols, documents and store. */
internal fun platformAdapters(settings: EntryHostSettings): EntryGatewayAdapters =
    EntryGatewayAdapters(
        callers = PlatformCallerDialect,
        refusals = PlatformCallerDialect,
        backends = PlatformBackendDialect,
        documents = PlatformDocuments,
        rehearsal = PlatformRehearsal,
        registrationKey = PlatformDocuments.gatewayKey(settings.peers.toString()),
        openStore = { clients ->
            val store = PlatformStore(settings.store, clients.kept, clients.single)
            val records = PlatformStreamRecords(store)
            PlatformStorePorts(changes = store, writes = store, records = records, lineages = records)
        },
    )
