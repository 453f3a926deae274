package org.acaciaflow.coordination.store

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.acaciaflow.coordination.port.ChangeFeed
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StorePage
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.state.store.StoreRevision

/** Reads a section of the store page by page, without holding more than one page in memory. */
internal class StoreReader(
    private val feed: ChangeFeed,
    private val onFailure: suspend (StoreFailure) -> Unit,
    private val onPage: (StorePage) -> Unit,
) {
    suspend fun read(section: StoreKey): SectionRead {
        var keys: PersistentSet<StoreKey> = persistentSetOf()
        var revision: StoreRevision? = null
        var after: StoreKey? = null
        var failures = 0
        while (true) {
            when (val answer = feed.page(section, after, StoreReadPolicy.pageTimeout(failures))) {
                is StoreResult.Failure -> {
                    failures += 1
                    onFailure(answer.reason)
                    when (StoreReadPolicy.afterFailedPage(answer.reason, failures)) {
                        AfterFailedPage.ASK_AGAIN -> Unit
                        AfterFailedPage.UNREADABLE -> return SectionRead.Unreadable(answer.reason)
                        AfterFailedPage.UNAVAILABLE -> return SectionRead.Unavailable
                    }
                }

                is StoreResult.Success -> {
                    val page = answer.value
                    if (revision != null && page.revision.era != revision.era) return SectionRead.Cut
                    onPage(page)
                    failures = 0
                    keys = keys.addAll(page.items.map { it.key })
                    // Pages are not read atomically; changes after the first page's revision cover the others.
                    revision = revision ?: page.revision
                    val next = page.next ?: return SectionRead.Complete(keys, revision)
                    if (!isAfter(next, after)) return SectionRead.Unreadable(StoreFailure.MALFORMED_ANSWER)
                    after = next
                }
            }
        }
    }
}

/** True if [next] lies after [former]; a page that doesn't advance would be read for good. */
private fun isAfter(
    next: StoreKey,
    former: StoreKey?,
): Boolean = former == null || next.path > former.path

/** Outcome of reading a section. */
internal sealed interface SectionRead {
    /** The section had exactly [keys] as of [revision] or later. */
    data class Complete(
        val keys: PersistentSet<StoreKey>,
        val revision: StoreRevision,
    ) : SectionRead

    /** A page could not be decoded. */
    data class Unreadable(
        val reason: StoreFailure,
    ) : SectionRead

    /** The store returned from a copy between two pages. */
    data object Cut : SectionRead

    /** The store did not answer. */
    data object Unavailable : SectionRead
}
