package org.acaciaflow.coordination.store

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.state.store.RevisionOrder

class StoreErasTest : AnnotationSpec() {
    @Test
    fun `a higher era is new, a smaller one past, and an answer without one is of the latest`() {
        val verdicts = listOf(3L, 4L, 5L, null).map { StoreEras.verdict(eraOf(4), eraOf(it)) }

        verdicts shouldBe listOf(EraVerdict.PAST, EraVerdict.CURRENT, EraVerdict.NEW, EraVerdict.CURRENT)
    }

    @Test
    fun `the first era is new, and so is the first one of a store that named none before`() {
        val first = listOf(3L, null).map { StoreEras.verdict(null, eraOf(it)) }
        val afterUnnamed = listOf(3L, null).map { StoreEras.verdict(eraOf(null), eraOf(it)) }

        first shouldBe listOf(EraVerdict.NEW, EraVerdict.NEW)
        afterUnnamed shouldBe listOf(EraVerdict.NEW, EraVerdict.CURRENT)
    }

    /** Guards against a revision of a former history that is compared with one of the present. */
    @Test
    fun `revisions are ordered within an era only`() {
        val known = revisionAt(5, era = 2)

        val orders = listOf(4L, 5L, 6L).map { revisionAt(it, era = 2).orderTo(known) }
        val others = listOf(4L, 5L, 6L).map { revisionAt(it, era = 3).orderTo(known) }

        orders shouldBe listOf(RevisionOrder.EARLIER, RevisionOrder.SAME, RevisionOrder.LATER)
        others shouldBe List(3) { RevisionOrder.OTHER_ERA }
        revisionAt(5).orderTo(known) shouldBe RevisionOrder.OTHER_ERA
    }
}
