package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import kotlinx.coroutines.runBlocking
import org.acaciaflow.coordination.execution.SettleOutcome
import org.acaciaflow.coordination.port.ListedExecution
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.state.identity.DeploymentName
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.RequestIdentity
import org.acaciaflow.transport.process.listUnresolved
import org.acaciaflow.transport.process.settleUnresolved
import kotlin.time.Clock

/** `acaciaflow unresolved`: lists non-idempotent requests whose outcome is unknown, or settles one by hand. */
internal class UnresolvedCommand : CoreCliktCommand(name = "unresolved") {
    private val store by option("--store", help = "ip:port of the key-value service.").address().required()
    private val deployment by option("--deployment", help = "The deployment of the request to settle.")
    private val key by option("--key", help = "The identity key of the request to settle.")
    private val outcome by option("--settle", help = "The outcome to record.").choice(EXECUTED, NOT_EXECUTED)
    private val reason by option("--reason", help = "How the outcome was established; recorded with the request.")

    override fun help(context: Context): String =
        "Lists requests whose outcome is unknown, or settles one. Example: acaciaflow unresolved " +
            "--store 127.0.0.1:2379 --deployment registro-register --key claim-7 --settle executed --reason 'asked'"

    override fun run() {
        when (outcome) {
            null -> list(store)
            else -> settle(store, outcome == EXECUTED)
        }
    }

    private fun list(address: HostAddress) {
        when (val listed = runBlocking { listUnresolved(address, Clock.System.now()) }) {
            is StoreResult.Failure -> exitWith("the store failed: ${listed.reason.code}; try again", EXIT_STORE_FAILED)
            is StoreResult.Success -> listed.value.forEach { echo(row(it)) }
        }
    }

    private fun settle(
        address: HostAddress,
        executed: Boolean,
    ) {
        val identity =
            RequestIdentity(
                DeploymentName(deployment ?: throw UsageError("--settle needs --deployment")),
                key ?: throw UsageError("--settle needs --key"),
            )
        val note = reason ?: throw UsageError("--settle needs --reason")
        when (val settled = runBlocking { settleUnresolved(address, identity, executed, note, Clock.System.now()) }) {
            SettleOutcome.Settled -> echo("settled")
            SettleOutcome.NotUnresolved -> exitWith("no such unresolved request; list again", EXIT_NOT_UNRESOLVED)
            SettleOutcome.ChangedMeanwhile -> exitWith("the record changed concurrently; list again", EXIT_CHANGED)
            is SettleOutcome.StoreFailed -> exitWith("the store failed: ${settled.reason.code}", EXIT_STORE_FAILED)
        }
    }

    private fun row(listed: ListedExecution): String =
        "${listed.identity.deployment.name} ${listed.identity.key}: ${listed.record}"

    private companion object {
        const val EXECUTED = "executed"
        const val NOT_EXECUTED = "not-executed"
        const val EXIT_NOT_UNRESOLVED = 3
        const val EXIT_STORE_FAILED = 4
        const val EXIT_CHANGED = 5
    }
}
