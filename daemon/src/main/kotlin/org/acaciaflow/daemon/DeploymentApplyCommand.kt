package org.acaciaflow.daemon

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.coroutines.runBlocking
import org.acaciaflow.protocol.configuration.PublishOutcome
import org.acaciaflow.transport.process.publishConfiguration
import kotlin.io.path.readText

/** `acaciaflow deployment apply`: stores a configuration as the next revision. */
internal class DeploymentApplyCommand : CoreCliktCommand(name = "apply") {
    private val file by argument(help = "The configuration file in JSON.").path(mustExist = true, canBeDir = false)
    private val store by option("--store", help = "ip:port of the key-value service.").address().required()
    private val base by option("--base", help = "The revision that this edit is based on.").long().default(0)

    override fun help(context: Context): String =
        "Stores a configuration as the next revision. " +
            "Example: acaciaflow deployment apply --store 127.0.0.1:2379 --base 3 configuration.json"

    override fun run() {
        val outcome = runBlocking { publishConfiguration(store, file.readText(), base) }
        echo(describe(outcome), err = outcome !is PublishOutcome.Accepted)
        val status = exitStatus(outcome)
        if (status != 0) throw ProgramResult(status)
    }

    private fun describe(outcome: PublishOutcome): String =
        when (outcome) {
            is PublishOutcome.Accepted -> {
                "accepted as revision ${outcome.revision}"
            }

            is PublishOutcome.Conflict -> {
                "conflict: the edit is based on revision ${outcome.base}, " +
                    "but revision ${outcome.current} is in force; nothing was changed"
            }

            is PublishOutcome.Faulty -> {
                outcome.faults.joinToString("\n") { "fault: $it" }
            }

            is PublishOutcome.StoreFailed -> {
                "the store failed (${outcome.reason.code}); the configuration in force is unchanged; try again"
            }

            is PublishOutcome.InDoubt -> {
                "the store's response was lost (${outcome.reason.code}); revision ${outcome.revision} may be in force"
            }
        }

    private fun exitStatus(outcome: PublishOutcome): Int =
        when (outcome) {
            is PublishOutcome.Accepted -> 0
            is PublishOutcome.Faulty -> EXIT_FAULTY
            is PublishOutcome.Conflict -> EXIT_CONFLICT
            is PublishOutcome.StoreFailed -> EXIT_STORE_FAILED
            is PublishOutcome.InDoubt -> EXIT_IN_DOUBT
        }

    private companion object {
        const val EXIT_FAULTY = 2
        const val EXIT_CONFLICT = 3
        const val EXIT_STORE_FAILED = 4
        const val EXIT_IN_DOUBT = 5
    }
}
