package org.acaciaflow.coordination.plain

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.acaciaflow.coordination.connection.ConnectionIsolation
import org.acaciaflow.coordination.relay.OWN_DATA_CENTRE
import org.acaciaflow.coordination.relay.backend
import org.acaciaflow.state.connection.SurplusAnswers
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.load.RemoteLoad
import org.acaciaflow.state.reliability.ReliabilityRecord
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class PlainSelectionTest : AnnotationSpec() {
    private val now = Instant.fromEpochSeconds(1_780_000_000)
    private val first = backend("first")
    private val second = backend("second")
    private val third = backend("third")
    private val pool = listOf(first, second, third)

    /** Guards against plain calls to a server that answers twice while sound servers of its pool have room. */
    @Test
    fun `an idle isolated server is set aside while a sound one has room`() {
        choose(isolated = listOf(first), running = mapOf(second to 5, third to 4)) shouldBe PlainChoice(third, 1)
    }

    /** Guards against calls that wait at a full server beside an idle isolated one. */
    @Test
    fun `calls spill over to isolated servers when no sound one has room`() {
        choose(isolated = listOf(first), running = mapOf(second to 6, third to 7)) shouldBe PlainChoice(first, 0)
    }

    /** Guards against a pool without any usable server since all of its servers answer twice. */
    @Test
    fun `if all candidates are isolated none is set aside`() {
        choose(isolated = pool, running = mapOf(first to 2, third to 1)) shouldBe PlainChoice(second, 0)
    }

    /** Guards against a server with one slot that never counts as having room. */
    @Test
    fun `a sound server with one slot has room while it is idle`() {
        val small = pool.map { it.copy(slots = 1) }

        choose(small, isolated = listOf(first, second)) shouldBe PlainChoice(small[2], 2)
        choose(small, isolated = listOf(first, second), running = mapOf(third to 1)) shouldBe PlainChoice(small[0], 0)
    }

    @Test
    fun `the least busy server is chosen when none is isolated`() {
        choose(running = mapOf(first to 3, second to 1, third to 2)) shouldBe PlainChoice(second, 0)
    }

    @Test
    fun `a server is no longer set aside when its isolation has ended`() {
        val ended = ConnectionIsolation.ISOLATION_TIME

        choose(isolated = listOf(first), running = mapOf(second to 1, third to 1), after = ended) shouldBe
            PlainChoice(first, 0)
    }

    /** Guards against a sound server in trouble that loses its calls to one whose wrong answers count as successes. */
    @Test
    fun `a sound server that fails at some runs is preferred`() {
        val failing = mapOf(second to 0.3, third to 0.4)

        choose(isolated = listOf(first), failureShares = failing) shouldBe PlainChoice(second, 1)
    }

    /** Guards against a pool whose calls all go to a sound server that fails at nearly all of them. */
    @Test
    fun `a sound server that fails at most runs is not preferred`() {
        val failing = mapOf(second to 0.8, third to 0.9)

        choose(isolated = listOf(first), failureShares = failing) shouldBe PlainChoice(first, 0)
    }

    /** Guards against a sound server that gets no calls any more after a few failures, so that its recovery is never seen. */
    @Test
    fun `a sound server that failed at most runs is tried now and then`() {
        val failing = mapOf(second to 0.8, third to 0.9)
        val random = Random(4601)

        val tries =
            (1..2_000).count {
                choose(isolated = listOf(first), failureShares = failing, random = random) !=
                    PlainChoice(first, 0)
            }

        println("calls to sound servers that failed at most runs: $tries of 2000")
        tries shouldBeInRange 40..200
    }

    /** Guards against calls that go to a server that answers twice and fails like the sound ones. */
    @Test
    fun `a sound server that fails no more often than the isolated ones is preferred`() {
        val failing = pool.associateWith { 0.9 }

        choose(isolated = listOf(first), failureShares = failing) shouldBe PlainChoice(second, 1)
    }

    private fun choose(
        candidates: List<BackendEntry> = pool,
        isolated: List<BackendEntry> = emptyList(),
        running: Map<BackendEntry, Int> = emptyMap(),
        failureShares: Map<BackendEntry, Double> = emptyMap(),
        after: Duration = 1.seconds,
        random: Random = Random(3),
    ): PlainChoice? {
        val surplus =
            isolated.fold(
                SurplusAnswers.NONE,
            ) { known, it -> ConnectionIsolation.surplusSeen(known, it.life, now) }
        val view =
            PlainView(
                load = loadOf(running),
                reliability = recordsOf(failureShares).toPersistentMap(),
                surplus = surplus,
                ownDataCentre = OWN_DATA_CENTRE,
            )
        return PlainSelection.choose(candidates, view, now + after, random)
    }

    /** The loads of other gateways, which count like own ones. */
    private fun loadOf(running: Map<BackendEntry, Int>): FleetLoad {
        val loads = running.entries.associate { (entry, jobs) -> entry.life to RemoteLoad(Duration.ZERO, 0, jobs, 0) }
        return FleetLoad.NONE.copy(remote = persistentMapOf<BackendLife, RemoteLoad>().putAll(loads))
    }

    private fun recordsOf(failureShares: Map<BackendEntry, Double>): Map<BackendLife, ReliabilityRecord> =
        failureShares.entries.associate { (entry, share) ->
            entry.life to ReliabilityRecord.UNKNOWN.copy(failureShare = share)
        }
}
