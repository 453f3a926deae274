package org.acaciaflow.standin.load

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.acaciaflow.state.identity.parseHostAddress
import kotlin.time.Duration.Companion.seconds

/** `load`: puts open-loop load on each target in turn and measures latency from the scheduled send time. */
internal class LoadCommand : CoreCliktCommand(name = "load") {
    private val targets by option("--targets", help = "name=ip:port,name=ip:port").split(",").required()
    private val rate by option("--rate", help = "calls a second").int().default(DEFAULT_RATE)
    private val runSeconds by option("--seconds", help = "measured seconds per target").int().default(DEFAULT_SECONDS)
    private val rounds by option("--rounds", help = "number of measurements of each target").int().default(1)
    private val seed by option("--seed").long().default(1)

    override fun help(context: Context): String =
        "Loads targets side by side. Example: load --targets direct=127.0.0.1:21102,path=127.0.0.1:21400 --rate 300"

    override fun run() {
        echo("seed $seed, $rate calls a second, $runSeconds s a target, $rounds rounds")
        val vertx = Vertx.vertx()
        runBlocking { measureAll(OpenLoop(vertx)) }
        runBlocking { vertx.close().coAwait() }
    }

    private suspend fun measureAll(loop: OpenLoop) {
        echo("| target | round | calls | failed | median ms | 99th percentile ms | maximum ms |")
        echo("| --- | --- | --- | --- | --- | --- | --- |")
        val plans =
            (1..rounds).flatMap { round ->
                targets.map { LoadPlan(it.substringBefore('='), it.substringAfter('='), round) }
            }
        targets.forEach { loop.run(addressOf(it.substringAfter('=')), rate, WARM_UP, seed) }
        plans.forEach { plan ->
            val result = loop.run(addressOf(plan.address), rate, runSeconds.seconds, seed + plan.round)
            echo(result.row(plan))
            echo(Json.encodeToString(LoadRecord.serializer(), result.record(plan)), err = true)
        }
    }

    private fun addressOf(text: String) = parseHostAddress(text) ?: error("expected ip:port, got: $text")

    private companion object {
        const val DEFAULT_RATE = 300
        const val DEFAULT_SECONDS = 10
        val WARM_UP = 8.seconds
    }
}

/** A measurement to run. */
internal data class LoadPlan(
    val target: String,
    val address: String,
    val round: Int,
)
