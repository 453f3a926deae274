package org.acaciaflow.coordination.stream

import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.delay
import org.acaciaflow.coordination.event.Event
import org.acaciaflow.coordination.port.LeasedSwap
import org.acaciaflow.coordination.port.LineageDocuments
import org.acaciaflow.coordination.port.Observations
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.coordination.store.StoreEraTracker
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.store.StoreRevision
import org.acaciaflow.state.stream.HostBase
import org.acaciaflow.state.stream.PoolBase
import org.acaciaflow.state.stream.PoolVersions
import org.acaciaflow.state.stream.StreamRoute
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Follows the software versions of each pool, and keeps the store's documents of the bases of pools and hosts. */
class VersionKeeper(
    private val tables: RelayTables,
    private val documents: LineageDocuments,
    private val writer: StreamRecordWriter,
    eras: StoreEraTracker,
    private val observations: Observations,
    private val clock: Clock,
    random: Random,
) {
    private val admittance = EraAdmittance(eras, clock)
    private val lineages = LineageChanges(tables.versions, clock)

    private val poolSteps = LineageSteps(random, ::swapPool)
    private val hostSteps = LineageSteps(random, ::swapHost)

    /** Looks at the fleet every [INTERVAL] until cancelled. */
    suspend fun run() {
        while (true) {
            observe(clock.now())
            takeSteps()
            delay(INTERVAL)
        }
    }

    private fun observe(now: Instant) {
        val lifetime = lifetime()
        val fleet = tables.fleet.snapshot()
        val knowledge = tables.store.snapshot()
        val former = tables.versions.snapshot()
        val current =
            tables.versions.update { VersionSightings.observed(it, fleet, knowledge, lifetime, now) }
        tables.begunStreams.update { BegunStreams.pruned(it, lifetime, now) }
        reportMixed(former, current)
        if (current.returnedAt == now) rewriteRecords()
    }

    private fun reportMixed(
        former: PoolVersions,
        current: PoolVersions,
    ) {
        (current.mixed - former.mixed).forEach { pool ->
            observations.event(Event.PoolVersionsDiffer(pool, current.sightings[pool].orEmpty().keys))
        }
        (former.mixed - current.mixed).forEach { observations.event(Event.PoolVersionsEqual(it)) }
    }

    /** The copy that the store returned from may lack the latest records, and its bases do not hold. */
    private fun rewriteRecords() =
        writer.rewrite(
            tables.begunStreams
                .snapshot()
                .values
                .map { it.record },
        )

    private suspend fun takeSteps() {
        tables.fleet
            .snapshot()
            .entries.values
            .map { it.pool }
            .toSet()
            .forEach { pool ->
                val now = clock.now()
                poolSteps.take(pool, policyAt(now).stepFor(pool), now)
            }
        StreamRoutes.byHost(tables.routing.snapshot().configuration).forEach { (host, routes) ->
            val now = clock.now()
            hostSteps.take(host, policyAt(now).stepFor(host, routes), now)
        }
    }

    private fun policyAt(now: Instant) =
        LineagePolicy(
            tables.versions.snapshot(),
            tables.fleet.snapshot(),
            tables.store.snapshot(),
            lifetime(),
            now,
        )

    private suspend fun swapPool(
        pool: PoolName,
        expected: StoreRevision?,
        version: SoftwareVersion?,
    ) {
        val base = PoolBase(version, tables.store.snapshot().era ?: return)
        val revision = revisionWritten(expected, documents.swapBase(pool, expected, base)) ?: return
        lineages.written(pool, base, revision)
        observations.event(version?.let { Event.PoolBaseSet(pool, it) } ?: Event.PoolBaseWithdrawn(pool))
    }

    private suspend fun swapHost(
        host: String,
        expected: StoreRevision?,
        routes: PersistentList<StreamRoute>?,
    ) {
        val base = HostBase(routes, tables.store.snapshot().era ?: return)
        val revision = revisionWritten(expected, documents.swapBase(host, expected, base)) ?: return
        lineages.written(host, base, revision)
        observations.event(routes?.let { Event.HostBaseSet(host, it) } ?: Event.HostBaseWithdrawn(host))
    }

    /** Returns the revision at which a document was written that was at [expected]; null if [result] says that it was not. */
    private fun revisionWritten(
        expected: StoreRevision?,
        result: StoreResult<LeasedSwap>,
    ): StoreRevision? =
        when (result) {
            is StoreResult.Failure -> {
                observations.storeFailed(result.reason)
                null
            }

            is StoreResult.Success -> {
                revisionWritten(expected, result.value)
            }
        }

    private fun revisionWritten(
        expected: StoreRevision?,
        swap: LeasedSwap,
    ): StoreRevision? {
        val era = admittance.admit(swap.era)
        if (era == null) observations.storeFailed(StoreFailure.PAST_ERA)
        // Another era's revision may have had the expected number: the watch brings what the document is now.
        val isOfExpectedEra = era != null && (expected == null || era == expected.era)
        return if (isOfExpectedEra && swap is LeasedSwap.Written) swap.revision.copy(era = era) else null
    }

    private fun lifetime(): Duration = StreamLifetime.of(tables.routing.snapshot().configuration)

    private companion object {
        val INTERVAL: Duration = 250.milliseconds
    }
}
