package org.acaciaflow.coordination.store

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.coordination.port.ChangeFeed
import org.acaciaflow.coordination.port.StoreChange
import org.acaciaflow.coordination.port.StoreChanges
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreItem
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StorePage
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.state.store.StoreEra
import org.acaciaflow.state.store.StoreRevision
import kotlin.time.Clock
import kotlin.time.Duration

/** Fails answers of a past era of the store; those without an era belong to the latest one. */
internal class EraCheckedFeed(
    private val feed: ChangeFeed,
    private val eras: StoreEraTracker,
    private val clock: Clock,
) : ChangeFeed {
    override val sections: PersistentList<StoreKey>
        get() = feed.sections

    override suspend fun page(
        section: StoreKey,
        after: StoreKey?,
        timeout: Duration,
    ): StoreResult<StorePage> =
        checked(feed.page(section, after, timeout), { it.revision.era }, ::pageIn).also { result ->
            if (result is StoreResult.Success) eras.seen(result.value.revision)
        }

    override suspend fun changes(
        revision: StoreRevision,
        wait: Duration,
    ): StoreResult<StoreChanges> =
        checked(feed.changes(revision, wait), { it.era }, ::changesIn).also { result ->
            val changes = (result as? StoreResult.Success)?.value
            if (changes is StoreChanges.Batch) eras.seen(changes.revision)
        }

    private fun <Value> checked(
        result: StoreResult<Value>,
        eraOf: (Value) -> StoreEra,
        inEra: (Value, StoreEra) -> Value,
    ): StoreResult<Value> =
        when (result) {
            is StoreResult.Failure -> {
                result
            }

            is StoreResult.Success -> {
                val answered = eraOf(result.value)
                when (val era = eras.admit(answered, clock.now())) {
                    null -> StoreResult.Failure(StoreFailure.PAST_ERA)
                    answered -> result
                    else -> StoreResult.Success(inEra(result.value, era))
                }
            }
        }

    private fun pageIn(
        page: StorePage,
        era: StoreEra,
    ): StorePage =
        page.copy(
            items = page.items.map { itemIn(it, era) }.toPersistentList(),
            revision = page.revision.copy(era = era),
        )

    private fun changesIn(
        changes: StoreChanges,
        era: StoreEra,
    ): StoreChanges =
        when (changes) {
            is StoreChanges.HistoryLost -> {
                StoreChanges.HistoryLost(era)
            }

            is StoreChanges.Batch -> {
                val dated = changes.changes.map { changeIn(it, era) }.toPersistentList()
                StoreChanges.Batch(dated, changes.revision.copy(era = era))
            }
        }

    private fun changeIn(
        change: StoreChange,
        era: StoreEra,
    ): StoreChange =
        when (change) {
            is StoreItem -> itemIn(change, era)
            is StoreChange.Removed -> change.copy(revision = change.revision.copy(era = era))
        }

    private fun itemIn(
        item: StoreItem,
        era: StoreEra,
    ): StoreItem =
        when (item) {
            is StoreItem.Written -> item.copy(revision = item.revision.copy(era = era))
            is StoreItem.Unreadable -> item.copy(revision = item.revision.copy(era = era))
        }
}
