package org.acaciaflow.coordination.stream

import kotlinx.collections.immutable.PersistentList
import org.acaciaflow.coordination.store.StoreFreshness
import org.acaciaflow.state.fleet.Fleet
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreKnowledge
import org.acaciaflow.state.store.StoreRevision
import org.acaciaflow.state.stream.Lineage
import org.acaciaflow.state.stream.PoolVersions
import org.acaciaflow.state.stream.StreamRoute
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Decides what the bases of pools and of hosts are.
 *
 * A stream without a record counts as begun at the base, also at gateways that have not heard of a change. So a base is
 * withdrawn first, and the next one is named only when no gateway uses the former one any more, and each stream that
 * began there without a record is too old to be taken up.
 */
internal class LineagePolicy(
    private val versions: PoolVersions,
    private val fleet: Fleet,
    private val knowledge: StoreKnowledge,
    private val lifetime: Duration,
    private val now: Instant,
) {
    private val longestUse: Duration = OriginPolicy.BASE_VALIDITY + lifetime

    /** What is due for [pool], at whose most frequent version streams shall begin without a record. */
    fun stepFor(pool: PoolName): LineageStep<SoftwareVersion> {
        val lineage = versions.lineages[pool]
        return stepFor(lineage, lineage?.base?.version, mostFrequentIn(pool)) { base ->
            VersionSightings.areComplete(versions, knowledge, lifetime, now) &&
                base !in VersionSightings.within(versions, fleet, pool, lifetime, now)
        }
    }

    /** What is due for [host], whose streams are led by [routes]; its base stays while any of them is led as before. */
    fun stepFor(
        host: String,
        routes: PersistentList<StreamRoute>,
    ): LineageStep<PersistentList<StreamRoute>> {
        val lineage = versions.hosts[host]
        return stepFor(lineage, lineage?.base?.routes, routes) { base ->
            routes.none { it.destinations.isNotEmpty() && it in base }
        }
    }

    /** What is due for [lineage], which names [base]; [isUnused] says whether streams begin elsewhere. */
    private fun <Value : Any> stepFor(
        lineage: Lineage<*>?,
        base: Value?,
        candidate: Value?,
        isUnused: (Value) -> Boolean,
    ): LineageStep<Value> {
        if (versions.observedSince == null || StoreFreshness.isInDoubt(knowledge, now)) return LineageStep.Keep
        if (candidate == null) return LineageStep.Keep
        return when {
            lineage == null -> stepWithoutBase(candidate)
            lineage.revision.era != knowledge.era -> LineageStep.Keep
            base == null -> stepAfterUse(lineage, candidate)
            lineage.base?.era != knowledge.era -> stepAfterReturn(lineage, base, candidate)
            now - lineage.since >= lifetime && isUnused(base) -> LineageStep.Withdraw(lineage.revision)
            else -> LineageStep.Keep
        }
    }

    /** A store that has lost the document in a return may have had a base that gateways still use. */
    private fun <Value : Any> stepWithoutBase(candidate: Value): LineageStep<Value> =
        LineageStep.Create(candidate.takeIf { isFirstEra(knowledge.era) })

    private fun isFirstEra(era: StoreEra?): Boolean =
        when (era) {
            is StoreEra.Numbered -> era.number <= FIRST_ERA
            StoreEra.Unknown -> versions.returnedAt == null
            null -> false
        }

    /**
     * The step for a base of a copy, which is not believed, since the copy may lack records.
     *
     * After a lifetime they matter no more, and the base holds again if nothing else was the base before the return.
     */
    private fun <Value : Any> stepAfterReturn(
        lineage: Lineage<*>,
        base: Value,
        candidate: Value,
    ): LineageStep<Value> {
        val returnedAt = versions.returnedAt
        val observedSince = versions.observedSince
        val isKnown =
            lineage.outlastedReturn && returnedAt != null && observedSince != null && observedSince < returnedAt
        return if (isKnown && returnedAt != null && now - returnedAt >= lifetime) {
            LineageStep.Replace(base, lineage.revision)
        } else {
            stepAfterUse(lineage, candidate)
        }
    }

    private fun <Value : Any> stepAfterUse(
        lineage: Lineage<*>,
        candidate: Value,
    ): LineageStep<Value> =
        if (now - lineage.since >= longestUse) LineageStep.Replace(candidate, lineage.revision) else LineageStep.Keep

    private fun mostFrequentIn(pool: PoolName): SoftwareVersion? =
        VersionSightings
            .versionsIn(fleet)[pool]
            ?.entries
            ?.maxWithOrNull(compareBy({ it.value }, { it.key.name }))
            ?.key

    private companion object {
        /** A store that has never returned from a copy numbers its era so, or lower. */
        const val FIRST_ERA = 1L
    }
}

/** What is due for the lineage of a pool or of a host. */
internal sealed interface LineageStep<out Value : Any> {
    data object Keep : LineageStep<Nothing>

    /** There is no lineage; streams without a record shall count as begun at [base], or all get records if it is null. */
    data class Create<Value : Any>(
        val base: Value?,
    ) : LineageStep<Value>

    /** The lineage written at [expected] shall name no base, so that each stream gets a record. */
    data class Withdraw(
        val expected: StoreRevision,
    ) : LineageStep<Nothing>

    /** The lineage written at [expected] shall name [base]. */
    data class Replace<Value : Any>(
        val base: Value,
        val expected: StoreRevision,
    ) : LineageStep<Value>
}
