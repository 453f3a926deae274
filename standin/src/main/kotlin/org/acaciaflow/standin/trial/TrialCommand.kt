package org.acaciaflow.standin.trial

import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.parseHostAddress
import kotlin.random.Random

/** `trial`: sends a request of every kind through the gateways and checks every answer. */
internal class TrialCommand : CoreCliktCommand(name = "trial") {
    private val gateways by option("--gateways", help = "ip:port,ip:port").split(",").required()

    override fun run() {
        val vertx = Vertx.vertx()
        val wrong = runBlocking { runAll(TrialClient(vertx), gateways.mapNotNull(::parseHostAddress)) }
        runBlocking { vertx.close().coAwait() }
        echo(if (wrong == 0) "every answer was right" else "$wrong answers were wrong")
        if (wrong > 0) throw ProgramResult(1)
    }

    private suspend fun runAll(
        client: TrialClient,
        addresses: List<HostAddress>,
    ): Int {
        val salt = Random.nextInt(Int.MAX_VALUE).toString()
        val first = addresses.first()
        val last = addresses.last()
        val repeatable =
            addresses.sumOf { gateway -> TrialCalls.repeatable(salt).sumOf { wrong(client, gateway, it) } }
        val filings = sendTwice(client, first, last, TrialCalls.filing("claim-$salt"))
        val releases = sendTwice(client, last, first, TrialCalls.release("release-$salt"))
        return repeatable + filings + releases
    }

    /** Sends a non-idempotent request and its resend through another gateway; both must get the same answer. */
    private suspend fun sendTwice(
        client: TrialClient,
        first: HostAddress,
        second: HostAddress,
        call: TrialCall,
    ): Int {
        val original = client.make(first, call)
        report(first, call, original)
        val resend = client.make(second, call)
        val repeated = if (resend.body == original.body) resend else resend.copy(fault = "not the first answer")
        report(second, call, repeated)
        return listOf(original, repeated).count { it.fault != null }
    }

    private suspend fun wrong(
        client: TrialClient,
        gateway: HostAddress,
        call: TrialCall,
    ): Int {
        val answer = client.make(gateway, call)
        report(gateway, call, answer)
        return if (answer.fault == null) 0 else 1
    }

    private fun report(
        gateway: HostAddress,
        call: TrialCall,
        answer: TrialAnswer,
    ) {
        val verdict = answer.fault ?: "right"
        val way = "gateway $gateway, sidecar of ${answer.backend}"
        val kind = "${call.kind} (${call.rank}) ${call.method} ${call.target.take(TARGET_WIDTH)}"
        echo("$kind: $verdict, status ${answer.status}, ${answer.body.length} bytes, way: $way")
    }

    private companion object {
        const val TARGET_WIDTH = 40
    }
}
