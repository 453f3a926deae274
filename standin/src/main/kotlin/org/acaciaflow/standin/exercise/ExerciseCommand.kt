package org.acaciaflow.standin.exercise

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.vertx.core.Vertx
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.acaciaflow.standin.trial.TrialClient
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.parseHostAddress
import kotlin.time.Duration.Companion.seconds

/** `exercise`: sends a mix of calls while another tool injects faults, and reports violated invariants. */
internal class ExerciseCommand : CoreCliktCommand(name = "exercise") {
    private val gateways by option("--gateways", help = "ip:port,ip:port").split(",").required()
    private val services by option("--services", help = "ip:port,ip:port of the plain services").split(",").required()
    private val runSeconds by option("--seconds").int().default(DEFAULT_SECONDS)
    private val rate by option("--rate", help = "calls a second").int().default(DEFAULT_RATE)
    private val seed by option("--seed").long().default(1)

    override fun help(context: Context): String =
        "Sends calls of all kinds and checks the delivery guarantees. Exit status 1 on any breach."

    override fun run() {
        val vertx = Vertx.vertx()
        val report = runBlocking { exercise(vertx) }
        runBlocking { vertx.close().coAwait() }
        echo("seed $seed, $runSeconds s, $rate calls a second")
        report.counts().forEach { (label, count) -> echo("$label: $count") }
        val breaches = report.breaches()
        echo("breaches: ${breaches.size}")
        breaches.forEach { echo("breach: $it") }
        if (breaches.isNotEmpty()) throw ProgramResult(1)
    }

    private suspend fun exercise(vertx: Vertx): ExerciseReport {
        val addresses = gateways.mapNotNull(::parseHostAddress)
        val sends = Exerciser(TrialClient(vertx), addresses, seed, rate).run(runSeconds.seconds)
        val executed = services.mapNotNull(::parseHostAddress).map { executions(vertx, it) }
        return ExerciseReport(sends, executed.fold(emptyMap()) { all, each -> all + each })
    }

    private suspend fun executions(
        vertx: Vertx,
        service: HostAddress,
    ): Map<String, Int> {
        val response =
            WebClient
                .create(vertx)
                .get(service.port, service.ip, "/standin/executions")
                .send()
                .coAwait()
        return Json.decodeFromString(response.bodyAsString())
    }

    private companion object {
        const val DEFAULT_SECONDS = 60
        const val DEFAULT_RATE = 20
    }
}
