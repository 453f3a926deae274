package org.acaciaflow.coordination.store

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.fleet.FleetChanges
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.coordination.relay.SERVICE_POOL
import org.acaciaflow.coordination.relay.backend
import org.acaciaflow.coordination.relay.createRelayTables
import org.acaciaflow.coordination.relay.virtualClock
import org.acaciaflow.state.fleet.BackendEntry
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds

class LapsedEntryRemovalTest : AnnotationSpec() {
    /**
     * Guards against calls to a removed server two seconds after a return of the store: checks that were up to 250 ms
     * late left a process 100 ms of the two seconds and the 100 ms of StoreReturnTest.
     */
    @Test
    fun `a lapsed server gets no more work within a tenth of a second of the end of its doubt`() =
        inEachPhase { tables, clock, _ ->
            tables.fleet.update { FleetChanges.lapsed(it, "one", clock.now()) }

            advanceTimeBy(StoreFreshness.DOUBT - 1.milliseconds)
            val inDoubt = usable(tables).size
            advanceTimeBy(100.milliseconds)
            val after = usable(tables).size

            listOf(inDoubt, after) shouldBe listOf(1, 0)
        }

    /** Guards against calls to a removed server two seconds after a return that is noticed late in its doubt (DRAIN). */
    @Test
    fun `a server that lapses late in the doubt gets no more work a tenth of a second after its end`() =
        inEachPhase { tables, clock, phase ->
            advanceTimeBy(StoreFreshness.DOUBT - 20.milliseconds)
            tables.fleet.update { FleetChanges.lapsed(it, "one", clock.now()) }

            advanceTimeBy(120.milliseconds)

            withClue("phase $phase") { usable(tables) shouldBe emptyList() }
        }

    /** Runs [check] right after a return of the store, with a registered server, at each phase of the removal's interval. */
    private fun inEachPhase(check: TestScope.(tables: RelayTables, clock: Clock, phase: Int) -> Unit) {
        for (phase in 0..240 step 10) {
            runTest {
                val tables = createRelayTables()
                val clock = virtualClock()
                backgroundScope.launch { LapsedEntryRemoval(tables.fleet, tables.store, clock).run() }
                advanceTimeBy(phase.milliseconds)
                tables.store.update { it.copy(returnedAt = clock.now()) }
                tables.fleet.update { FleetChanges.registered(it, backend("one"), revisionAt(1)) }
                check(tables, clock, phase)
            }
        }
    }

    private fun usable(tables: RelayTables): List<BackendEntry> = tables.fleet.snapshot().usableIn(SERVICE_POOL)
}
