package org.acaciaflow.standin.exercise

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.acaciaflow.protocol.http.RefusalDocument
import org.acaciaflow.standin.engine.EngineCall
import org.acaciaflow.standin.trial.TrialAnswer
import org.acaciaflow.standin.trial.TrialCall
import org.acaciaflow.standin.trial.TrialCalls
import org.acaciaflow.standin.trial.TrialClient
import org.acaciaflow.state.identity.HostAddress
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Sends a mix of calls of all ranks for a while; calls that must not repeat are sent again like devices do. */
internal class Exerciser(
    private val client: TrialClient,
    private val gateways: List<HostAddress>,
    private val seed: Long,
    private val callsPerSecond: Int,
) {
    private val sends = AtomicReference<PersistentList<ExerciseSend>>(persistentListOf())

    suspend fun run(time: Duration): List<ExerciseSend> {
        val random = Random(seed)
        val start = TimeSource.Monotonic.markNow()
        coroutineScope {
            var number = 0
            while (start.elapsedNow() < time) {
                number += 1
                val call = pick(random, number)
                val route = gateways.shuffled(random)
                launch { send(call, route) }
                delay(MILLISECONDS_PER_SECOND / callsPerSecond)
            }
        }
        return sends.get()
    }

    private fun pick(
        random: Random,
        number: Int,
    ): TrialCall {
        val identity = "$seed-$number"
        return when (random.nextInt(PERCENT)) {
            in 0 until FILINGS -> TrialCalls.filing("claim-$identity")
            in FILINGS until RELEASES -> TrialCalls.release("release-$identity")
            RELEASES -> TrialCalls.threadQuery("${EngineCall.CRASH_MARK} ${random.nextInt(CRASHING)}")
            else -> TrialCalls.repeatable(identity).random(random)
        }
    }

    private suspend fun send(
        call: TrialCall,
        route: List<HostAddress>,
    ) {
        val identity = call.identity
        val tries = if (identity == null) 1 else SENDS_OF_ONE_REQUEST
        repeat(tries) { attempt ->
            val outcome = outcomeOf(call, route[attempt % route.size])
            sends.updateAndGet { it.add(ExerciseSend(call.kind, identity, outcome)) }
            if (outcome == ExerciseOutcome.Right && attempt > 0) return
        }
    }

    private suspend fun outcomeOf(
        call: TrialCall,
        gateway: HostAddress,
    ): ExerciseOutcome =
        try {
            val answer = withTimeoutOrNull(PATIENCE) { client.make(gateway, call) }
            if (answer == null) ExerciseOutcome.Cut else judged(answer)
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (_: Exception) {
            ExerciseOutcome.Cut
        }

    private fun judged(answer: TrialAnswer): ExerciseOutcome {
        val fault = answer.fault ?: return ExerciseOutcome.Right
        return refusal(answer.body) ?: ExerciseOutcome.Wrong(fault)
    }

    private fun refusal(body: String): ExerciseOutcome.Refused? =
        try {
            val detail = Json.decodeFromString(RefusalDocument.serializer(), body).error
            ExerciseOutcome.Refused(detail.execution, detail.type)
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1000L
        const val PERCENT = 100
        const val FILINGS = 15
        const val RELEASES = 30
        const val CRASHING = 3
        const val SENDS_OF_ONE_REQUEST = 3
        val PATIENCE: Duration = 70.seconds
    }
}
