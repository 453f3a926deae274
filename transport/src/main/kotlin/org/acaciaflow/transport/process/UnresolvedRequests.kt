package org.acaciaflow.transport.process

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.coordination.execution.SettleOutcome
import org.acaciaflow.coordination.execution.UnresolvedExecutions
import org.acaciaflow.coordination.port.ListedExecution
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.protocol.record.StoredExecutionRecords
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.RequestIdentity
import kotlin.time.Instant

/** Lists the requests in the store whose outcome is unknown as of [now]. */
suspend fun listUnresolved(
    store: HostAddress,
    now: Instant,
): StoreResult<PersistentList<ListedExecution>> =
    withStore(store) { UnresolvedExecutions(StoredExecutionRecords(it)).list(now) }

/** Records in the store the outcome that an operator has established for a request. */
suspend fun settleUnresolved(
    store: HostAddress,
    identity: RequestIdentity,
    executed: Boolean,
    reason: String,
    now: Instant,
): SettleOutcome =
    withStore(store) { UnresolvedExecutions(StoredExecutionRecords(it)).settle(identity, executed, reason, now) }
