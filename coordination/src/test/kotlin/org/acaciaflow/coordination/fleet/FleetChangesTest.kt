package org.acaciaflow.coordination.fleet

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import org.acaciaflow.coordination.relay.SERVICE_POOL
import org.acaciaflow.coordination.relay.backend
import org.acaciaflow.coordination.store.revisionAt
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.Fleet
import kotlin.random.Random
import kotlin.time.Instant

class FleetChangesTest : AnnotationSpec() {
    @Test
    fun `a lifetime once seen draining gets no work even if a later entry is not draining`() {
        val drained = registered(Fleet.NONE, backend("one", draining = true))

        val updated = registered(drained, backend("one", draining = false))

        updated.usableIn(SERVICE_POOL).shouldBeEmpty()
    }

    @Test
    fun `a new lifetime of a drained instance gets work`() {
        val drained = registered(Fleet.NONE, backend("one", startedAt = 1, draining = true))

        val restarted = registered(drained, backend("one", startedAt = 2))

        restarted.usableIn(SERVICE_POOL) shouldHaveSize 1
    }

    /** Guards against an entry with a start far ahead that makes all later entries of its server void. */
    @Test
    fun `the entry that was written last counts, whatever start times and order of arrival say`() =
        kotlinx.coroutines.test.runTest {
            checkAll(200, Arb.list(Arb.pair(Arb.int(1..5), Arb.boolean()), 1..12), Arb.long()) { writes, seed ->
                val entries =
                    writes.mapIndexed { index, (startedAt, draining) ->
                        backend("one", startedAt = startedAt.toLong(), draining = draining) to revisionAt(index + 1L)
                    }

                val fleet =
                    entries.shuffled(Random(seed)).fold(Fleet.NONE) { fleet, (entry, revision) ->
                        FleetChanges.registered(fleet, entry, revision)
                    }

                val (last, revision) = entries.last()
                fleet.entries.getValue("one") shouldBe last
                fleet.revisions.getValue("one") shouldBe revision
                val drained = entries.map { it.first }.filter { it.draining }.map { it.life }
                fleet.usableIn(SERVICE_POOL).isEmpty() shouldBe (last.life in drained)
            }
        }

    @Test
    fun `in the order of the store, a lifetime seen draining gets no work until another one is written`() =
        kotlinx.coroutines.test.runTest {
            checkAll(200, Arb.list(Arb.pair(Arb.int(1..5), Arb.boolean()), 1..12)) { writes ->
                val entries =
                    writes.map { (startedAt, draining) ->
                        backend("one", startedAt = startedAt.toLong(), draining = draining)
                    }

                val fleet =
                    entries.foldIndexed(Fleet.NONE) { index, fleet, entry ->
                        FleetChanges.registered(fleet, entry, revisionAt(index + 1L))
                    }

                val drained = entries.filter { it.draining }.map { it.life }
                fleet.usableIn(SERVICE_POOL).isEmpty() shouldBe (entries.last().life in drained)
            }
        }

    @Test
    fun `after the revision of the store went back, its entries count again`() {
        val known = FleetChanges.registered(Fleet.NONE, backend("one", startedAt = 1), revisionAt(90))

        val restored = FleetChanges.reorderedFor(known, revisionAt(5))
        val read = FleetChanges.registered(restored, backend("one", startedAt = 2), revisionAt(3))

        read.entries
            .getValue("one")
            .life.startedAtMilliseconds shouldBe 2
    }

    @Test
    fun `a lapsed entry stays in use until lapsed entries are removed`() {
        val known = registered(Fleet.NONE, backend("one"))

        val lapsed = lapsed(known, "one")
        val remaining = lapsedRemoved(lapsed)

        lapsed.usableIn(SERVICE_POOL) shouldHaveSize 1
        remaining.entries.values.shouldBeEmpty()
    }

    /** Guards against a server that restarts under its id while the store is away and then gets no work for good. */
    @Test
    fun `a new lifetime that registers after a lapse is not removed with the old one`() {
        val lapsed = lapsed(registered(Fleet.NONE, backend("one", startedAt = 1)), "one")

        val restarted = registered(lapsed, backend("one", startedAt = 2))
        val remaining = lapsedRemoved(lapsedRemoved(restarted))

        remaining.usableIn(SERVICE_POOL) shouldHaveSize 1
        remaining.lapsed.keys.shouldBeEmpty()
    }

    @Test
    fun `after any sequence of entries, outages and restarts the fleet is what the store shows`() =
        kotlinx.coroutines.test.runTest {
            checkAll(500, Arb.list(Arb.enum<StoreEvent>(), 1..12)) { events ->
                var life = 1L
                var shown: Long? = null
                var fleet = Fleet.NONE
                for (event in events) {
                    when (event) {
                        StoreEvent.RESTARTED_AND_REGISTERED -> {
                            life += 1
                            shown = life
                            fleet = registered(fleet, backend("one", startedAt = life))
                        }

                        StoreEvent.REGISTERED -> {
                            shown = life
                            fleet = registered(fleet, backend("one", startedAt = life))
                        }

                        StoreEvent.LAPSED_IN_OUTAGE -> {
                            shown = null
                            fleet = lapsed(fleet, "one")
                        }

                        StoreEvent.REMOVED -> {
                            shown = null
                            fleet = FleetChanges.removed(fleet, "one")
                        }

                        StoreEvent.GRACE_OVER -> fleet = lapsedRemoved(fleet)
                    }
                }

                val settled = lapsedRemoved(fleet)

                settled.usableIn(SERVICE_POOL).map { it.life.startedAtMilliseconds } shouldBe listOfNotNull(shown)
                settled.lapsed.keys.shouldBeEmpty()
            }
        }

    private fun lapsed(
        fleet: Fleet,
        instance: String,
    ): Fleet = FleetChanges.lapsed(fleet, instance, LAPSED_AT)

    private fun lapsedRemoved(fleet: Fleet): Fleet = FleetChanges.lapsedRemoved(fleet, LAPSED_AT, LAPSED_AT)

    private fun registered(
        fleet: Fleet,
        entry: BackendEntry,
    ): Fleet =
        FleetChanges.registered(
            fleet,
            entry,
            revisionAt(
                (fleet.revisions.values.maxOfOrNull { it.number } ?: 0) + 1,
            ),
        )

    private enum class StoreEvent { RESTARTED_AND_REGISTERED, REGISTERED, LAPSED_IN_OUTAGE, REMOVED, GRACE_OVER }

    @Test
    fun `an entry registered again after a lapse is not removed`() {
        val lapsed = lapsed(registered(Fleet.NONE, backend("one")), "one")

        val remaining = lapsedRemoved(registered(lapsed, backend("one")))

        remaining.usableIn(SERVICE_POOL) shouldHaveSize 1
    }

    private companion object {
        val LAPSED_AT: Instant = Instant.fromEpochMilliseconds(1_000_000)
    }
}
