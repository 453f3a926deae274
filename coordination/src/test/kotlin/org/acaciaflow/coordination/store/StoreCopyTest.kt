package org.acaciaflow.coordination.store

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.port.StoreChanges
import org.acaciaflow.coordination.port.StorePage
import org.acaciaflow.coordination.port.StoreResult
import kotlin.time.Duration.Companion.seconds

/** What the entries of an older copy change of what a gateway knows. */
class StoreCopyTest : AnnotationSpec() {
    private val known = page(FORMER, 90, entry("one", 80, FORMER))

    /** Guards against servers that lose their work because their entries were written after the copy. */
    @Test
    fun `a server that is missing in the copy keeps its work for two seconds`() =
        runTest {
            val store = store(page(NEW, 85), changes(90)).follow(1.seconds)
            val soon = store.usable()
            store.pass(1.5.seconds)

            soon shouldBe listOf("one")
            store.usable() shouldBe listOf()
        }

    @Test
    fun `a server that is missing in the copy and writes again stays in use`() =
        runTest {
            val store = store(page(NEW, 85), changes(90), changes(86, entry("one", 86))).follow(5.seconds)

            store.usable() shouldBe listOf("one")
        }

    /** Guards against an entry that is written anew with a smaller number and is taken for an older one. */
    @Test
    fun `an entry of the new era counts, whatever its number`() =
        runTest {
            val pages = page(NEW, 70, entry("one", 60, state = "draining"), entry("two", 61))

            val store = store(pages, changes(95)).follow(2.seconds)

            store.usable() shouldBe listOf("two")
        }

    private fun TestScope.store(
        read: StoreResult<StorePage>,
        vararg watches: StoreResult<StoreChanges>,
    ) = ReturningStore(this, listOf(known, read), watches.toList())
}
