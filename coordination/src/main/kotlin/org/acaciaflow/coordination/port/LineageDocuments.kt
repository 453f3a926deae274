package org.acaciaflow.coordination.port

import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.store.StoreRevision
import org.acaciaflow.state.stream.HostBase
import org.acaciaflow.state.stream.PoolBase

/** Writes the documents of the bases of pools and of hosts, which a [ChangeFeed] brings. */
interface LineageDocuments {
    /** Writes [base] for [pool] if its document is at revision [expected], or absent if that is null. */
    suspend fun swapBase(
        pool: PoolName,
        expected: StoreRevision?,
        base: PoolBase,
    ): StoreResult<LeasedSwap>

    /** Writes [base] for [host] if its document is at revision [expected], or absent if that is null. */
    suspend fun swapBase(
        host: String,
        expected: StoreRevision?,
        base: HostBase,
    ): StoreResult<LeasedSwap>
}
