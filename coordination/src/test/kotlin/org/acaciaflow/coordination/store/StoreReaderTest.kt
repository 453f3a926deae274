package org.acaciaflow.coordination.store

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.test.runTest
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.coordination.port.ChangeFeed
import org.acaciaflow.coordination.port.StoreChanges
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.port.StoreItem
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StorePage
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.state.store.StoreRevision
import kotlin.time.Duration

class StoreReaderTest : AnnotationSpec() {
    private val section = StoreKey("servers/")

    @Test
    fun `a section of several pages has all their keys and the revision of the first`() =
        runTest {
            val feed = PagedFeed(page("a", 5, more = true), page("b", 9, more = true), page("c", 7))

            val read = reader(feed).read(section)

            read shouldBe
                SectionRead.Complete(persistentSetOf(StoreKey("a"), StoreKey("b"), StoreKey("c")), revisionAt(5))
            feed.asked shouldBe listOf(null, StoreKey("a"), StoreKey("b"))
        }

    @Test
    fun `a page whose answer was lost is asked for again, not the section from its start`() =
        runTest {
            val lost = StoreResult.Failure(StoreFailure.TIMED_OUT)
            val feed = PagedFeed(page("a", 5, more = true), lost, page("b", 6))

            reader(feed).read(section).shouldBeInstanceOf<SectionRead.Complete>()

            feed.asked shouldBe listOf(null, StoreKey("a"), StoreKey("a"))
        }

    /** Guards against a page that can't be decoded and makes a gateway read the same section for good. */
    @Test
    fun `a page that cannot be decoded ends its section, an unavailable store ends the read`() =
        runTest {
            val malformed = PagedFeed(StoreResult.Failure(StoreFailure.MALFORMED_ANSWER))
            val rejecting = PagedFeed(StoreResult.Failure(StoreFailure.REJECTED))

            reader(malformed).read(section) shouldBe SectionRead.Unreadable(StoreFailure.MALFORMED_ANSWER)
            reader(rejecting).read(section) shouldBe SectionRead.Unavailable
        }

    /** Guards against a page that doesn't advance and makes a gateway read it for good without a pause. */
    @Test
    fun `a page that does not lie after the former one ends its section`() =
        runTest {
            val feed = PagedFeed(page("b", 5, more = true), page("b", 5, more = true))

            reader(feed).read(section) shouldBe SectionRead.Unreadable(StoreFailure.MALFORMED_ANSWER)
        }

    private fun reader(feed: ChangeFeed) = StoreReader(feed, onFailure = {}, onPage = {})

    private fun page(
        key: String,
        revision: Long,
        more: Boolean = false,
    ): StoreResult<StorePage> {
        val item = StoreItem.Written(StoreKey(key), ByteString(), revisionAt(revision))
        return StoreResult.Success(
            StorePage(persistentListOf(item), revisionAt(revision), StoreKey(key).takeIf { more }),
        )
    }
}

/** Returns the given pages in order and records after which key each was asked for. */
private class PagedFeed(
    vararg answers: StoreResult<StorePage>,
) : ChangeFeed {
    private val remaining = answers.toMutableList()
    val asked = mutableListOf<StoreKey?>()

    override val sections: PersistentList<StoreKey> = persistentListOf()

    override suspend fun page(
        section: StoreKey,
        after: StoreKey?,
        timeout: Duration,
    ): StoreResult<StorePage> {
        asked += after
        return remaining.removeAt(0)
    }

    override suspend fun changes(
        revision: StoreRevision,
        wait: Duration,
    ): StoreResult<StoreChanges> = error("not used")
}
