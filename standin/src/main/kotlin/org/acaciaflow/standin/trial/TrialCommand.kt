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

/** `trial`: sends a call of every kind through each gateway and checks the answers. */
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
            addresses.sumOf { gateway -> TrialCalls.repeatable(salt).sumOf { countFaults(client, gateway, it) } }
        val filings = sendTwice(client, first, last, TrialCalls.filing("claim-$salt"))
        val releases = sendTwice(client, last, first, TrialCalls.release("release-$salt"))
        return repeatable + filings + releases
    }

    /** Sends a non-idempotent call and resends it through another gateway; both must get the same answer. */
    private suspend fun sendTwice(
        client: TrialClient,
        first: HostAddress,
        second: HostAddress,
        call: TrialCall,
    ): Int {
        val original = client.send(first, call)
        report(first, call, original)
        val resend = client.send(second, call)
        val repeated = if (resend.body == original.body) resend else resend.copy(fault = "not the first answer")
        report(second, call, repeated)
        return listOf(original, repeated).count { it.fault != null }
    }

    private suspend fun countFaults(
        client: TrialClient,
        gateway: HostAddress,
        call: TrialCall,
    ): Int {
        val answer = client.send(gateway, call)
        report(gateway, call, answer)
        return if (answer.fault == null) 0 else 1
    }

    private fun report(
        gateway: HostAddress,
        call: TrialCall,
        answer: TrialAnswer,
    ) {
        val verdict = answer.fault ?: "right"
        val path = "gateway $gateway, sidecar of ${answer.backend}"
        val kind = "${call.kind} (${call.rank}) ${call.method} ${call.target.take(TARGET_WIDTH)}"
        echo("$kind: $verdict, status ${answer.status}, ${answer.body.length} bytes, path: $path")
    }

    private companion object {
        const val TARGET_WIDTH = 40
    }
}
