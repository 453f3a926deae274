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
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import org.acaciaflow.coordination.relay.SERVICE_POOL
import org.acaciaflow.coordination.relay.backend
import org.acaciaflow.state.fleet.Fleet

class FleetChangesTest : AnnotationSpec() {
    @Test
    fun `a lifetime once seen draining gets no work even if a later entry is not draining`() {
        val drained = FleetChanges.registered(Fleet.NONE, backend("one", draining = true))

        val updated = FleetChanges.registered(drained, backend("one", draining = false))

        updated.usableIn(SERVICE_POOL).shouldBeEmpty()
    }

    @Test
    fun `a new lifetime of a drained instance gets work`() {
        val drained = FleetChanges.registered(Fleet.NONE, backend("one", startedAt = 1, draining = true))

        val restarted = FleetChanges.registered(drained, backend("one", startedAt = 2))

        restarted.usableIn(SERVICE_POOL) shouldHaveSize 1
    }

    @Test
    fun `entries in any order never replace a lifetime by an older one`() =
        kotlinx.coroutines.test.runTest {
            checkAll(200, Arb.list(Arb.pair(Arb.int(1..5), Arb.boolean()), 1..12)) { arrivals ->
                val entries =
                    arrivals.map { (startedAt, draining) ->
                        backend("one", SERVICE_POOL, startedAt = startedAt.toLong(), draining = draining)
                    }

                val fleet = entries.fold(Fleet.NONE, FleetChanges::registered)

                val latest = arrivals.maxOf { it.first }.toLong()
                fleet.entries
                    .getValue("one")
                    .life.startedAtMilliseconds shouldBe latest
                val drained = arrivals.any { (startedAt, draining) -> startedAt.toLong() == latest && draining }
                fleet.usableIn(SERVICE_POOL).isEmpty() shouldBe drained
            }
        }

    @Test
    fun `a lapsed entry stays in use until lapsed entries are removed`() {
        val known = FleetChanges.registered(Fleet.NONE, backend("one"))

        val lapsed = FleetChanges.lapsed(known, "one")
        val remaining = FleetChanges.lapsedRemoved(lapsed)

        lapsed.usableIn(SERVICE_POOL) shouldHaveSize 1
        remaining.entries.values.shouldBeEmpty()
    }

    /** Guards against a server that restarts under its id while the store is away and then gets no work for good. */
    @Test
    fun `a new lifetime that registers after a lapse is not removed with the old one`() {
        val lapsed = FleetChanges.lapsed(FleetChanges.registered(Fleet.NONE, backend("one", startedAt = 1)), "one")

        val restarted = FleetChanges.registered(lapsed, backend("one", startedAt = 2))
        val remaining = FleetChanges.lapsedRemoved(FleetChanges.lapsedRemoved(restarted))

        remaining.usableIn(SERVICE_POOL) shouldHaveSize 1
        remaining.lapsed.shouldBeEmpty()
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
                            fleet = FleetChanges.registered(fleet, backend("one", startedAt = life))
                        }

                        StoreEvent.REGISTERED -> {
                            shown = life
                            fleet = FleetChanges.registered(fleet, backend("one", startedAt = life))
                        }

                        StoreEvent.LAPSED_IN_OUTAGE -> {
                            shown = null
                            fleet = FleetChanges.lapsed(fleet, "one")
                        }

                        StoreEvent.REMOVED -> {
                            shown = null
                            fleet = FleetChanges.removed(fleet, "one")
                        }

                        StoreEvent.GRACE_OVER -> fleet = FleetChanges.lapsedRemoved(fleet)
                    }
                }

                val settled = FleetChanges.lapsedRemoved(fleet)

                settled.usableIn(SERVICE_POOL).map { it.life.startedAtMilliseconds } shouldBe listOfNotNull(shown)
                settled.lapsed.shouldBeEmpty()
            }
        }

    private enum class StoreEvent { RESTARTED_AND_REGISTERED, REGISTERED, LAPSED_IN_OUTAGE, REMOVED, GRACE_OVER }

    @Test
    fun `an entry registered again after a lapse is not removed`() {
        val lapsed = FleetChanges.lapsed(FleetChanges.registered(Fleet.NONE, backend("one")), "one")

        val remaining = FleetChanges.lapsedRemoved(FleetChanges.registered(lapsed, backend("one")))

        remaining.usableIn(SERVICE_POOL) shouldHaveSize 1
    }
}
