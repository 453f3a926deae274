package org.acaciaflow.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.acaciaflow.coordination.plan.PlanEdit
import org.acaciaflow.coordination.port.PlanKey
import org.acaciaflow.standin.engine.EngineStandin
import org.acaciaflow.standin.fault.Faults
import org.acaciaflow.standin.trial.TrialAnswer
import org.acaciaflow.standin.trial.TrialCalls
import org.acaciaflow.standin.trial.TrialClient
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.plan.EngineState
import org.acaciaflow.transport.process.assignEngine
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Covers engine orders when the engines do not check fencing numbers and so cannot reject a stale order. */
internal class EngineOrdersTest :
    SiteSpec({
        TestSite(TestSite.FAST_ENGINE.copy(roleChange = 800.milliseconds), checksFencing = false)
    }) {
    @Test
    suspend fun `a role change under load interrupts no request and sends one order`() {
        val ordersBefore = engine().report().ordersTaken

        val answers = underLoad { changeTo(EngineRole.DECODE) }

        answers.mapNotNull { it.fault }.shouldBeEmpty()
        site.engines.values.sumOf { it.cancelledCalls } shouldBe 0
        (engine().report().ordersTaken - ordersBefore) shouldBe 1
        engine().report().conflictingOrders shouldBe 0
    }

    @Test
    suspend fun `an order whose acknowledgement is lost is not sent again`() {
        val ordersBefore = engine().report().ordersTaken
        engine().faults.set(Faults(answersToLose = 1))

        changeTo(EngineRole.PREFILL)

        (engine().report().ordersTaken - ordersBefore) shouldBe 1
        engine().report().conflictingOrders shouldBe 0
    }

    @Test
    suspend fun `an engine that crashes during a change still reaches the desired state`() {
        assign(EngineRole.DECODE, version = "crashing")
        eventually(30.seconds) { engine().report().changing shouldBe true }

        engine().crash()

        eventually(30.seconds) { engine().report().state.version shouldBe "crashing" }
        engine().report().conflictingOrders shouldBe 0
    }

    @Test
    suspend fun `at most one order is sent while the store is down`() {
        assign(EngineRole.MIXED, version = "unseen")
        site.store.faults.set(Faults(down = true))
        val ordersBefore = engine().report().ordersTaken

        delay(2.seconds)
        val ordersDuringOutage = engine().report().ordersTaken - ordersBefore
        site.store.faults.set(Faults())

        (ordersDuringOutage <= 1) shouldBe true
        eventually(30.seconds) { engine().report().state.version shouldBe "unseen" }
    }

    @Test
    suspend fun `concurrent plan edits are all accepted`() {
        val outcomes =
            coroutineScope {
                site.linkAddresses.values
                    .map { sidecar ->
                        async { assignEngine(site.storeAddress, OTHER_KEY, sidecar, stateOf(EngineRole.MIXED, "1")) }
                    }.awaitAll()
            }

        outcomes.all { it is PlanEdit.Accepted } shouldBe true
    }

    private suspend fun changeTo(role: EngineRole) {
        assign(role, version = role.name)
        eventually(30.seconds) { engine().report().state.version shouldBe role.name }
        delay(1.seconds)
    }

    private suspend fun assign(
        role: EngineRole,
        version: String,
    ) {
        assignEngine(site.storeAddress, KEY, site.linkAddresses.getValue(ENGINE), stateOf(role, version))
    }

    private suspend fun underLoad(change: suspend () -> Unit): List<TrialAnswer> =
        coroutineScope {
            val client = TrialClient(site.vertx)
            val calls =
                (1..60).map { number ->
                    async {
                        delay(number * CALL_SPACING_MILLISECONDS)
                        client.send(site.gateways[number % 2], TrialCalls.threadQuery("under load $number", 40))
                    }
                }
            change()
            calls.awaitAll()
        }

    private fun engine(): EngineStandin = site.engines.getValue(ENGINE)

    private fun stateOf(
        role: EngineRole,
        version: String,
    ): EngineState = EngineState(role, model = "loom", version, persistentListOf())

    private companion object {
        const val ENGINE = "loom-1"
        const val CALL_SPACING_MILLISECONDS = 50L
        val KEY = PlanKey(PoolName("loom-models"), DataCentre("suba"))
        val OTHER_KEY = PlanKey(PoolName("pond-assistant"), DataCentre("suba"))
    }
}
