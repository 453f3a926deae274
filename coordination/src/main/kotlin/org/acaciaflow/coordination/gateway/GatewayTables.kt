package org.acaciaflow.coordination.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.coordination.retry.RetryBudgetPolicy
import org.acaciaflow.state.backend.BackendServers
import org.acaciaflow.state.budget.RetryBudget
import org.acaciaflow.state.configuration.Configuration
import org.acaciaflow.state.identity.Ticket
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.suspect.CrashSuspects
import org.acaciaflow.state.table.SharedTable
import org.acaciaflow.state.table.createSharedTable
import org.acaciaflow.state.waiting.WaitingRequests

/** The shared tables of a gateway, declared in lock order. */
data class GatewayTables(
    val configuration: SharedTable<Configuration>,
    val waiting: SharedTable<WaitingRequests>,
    val servers: SharedTable<BackendServers>,
    val suspects: SharedTable<CrashSuspects>,
    val retryBudget: SharedTable<RetryBudget>,
    val exchanges: SharedTable<PersistentMap<Ticket, PendingExchange>>,
)

/** Creates the tables of a starting gateway, which has no configuration and no requests yet. */
fun createGatewayTables(): GatewayTables =
    GatewayTables(
        configuration = createSharedTable(LockOrder.CONFIGURATION, Configuration.EMPTY),
        waiting = createSharedTable(LockOrder.WAITING_REQUESTS, WaitingRequests.NONE),
        servers = createSharedTable(LockOrder.BACKEND_SERVERS, BackendServers.NONE),
        suspects = createSharedTable(LockOrder.CRASH_SUSPECTS, CrashSuspects.NONE),
        retryBudget = createSharedTable(LockOrder.RETRY_BUDGET, RetryBudgetPolicy.initial()),
        exchanges = createSharedTable(LockOrder.EXCHANGES, persistentMapOf()),
    )
