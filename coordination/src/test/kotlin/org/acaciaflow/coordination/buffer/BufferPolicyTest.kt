package org.acaciaflow.coordination.buffer

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.state.buffer.BufferUse
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.table.createSharedTable

class BufferPolicyTest : AnnotationSpec() {
    private val limits = BufferLimits(total = 200_000, perBackend = 100_000)
    private val faulty = BackendLife("faulty", 1)
    private val sound = BackendLife("sound", 1)

    /** Guards against one faulty server that takes the memory for the answers of all others. */
    @Test
    fun `a server that has used up its share leaves the rest to others`() {
        val table = createSharedTable(LockOrder.ANSWER_BUFFERS, BufferUse.NONE)
        val answers = List(10) { BufferReservation(table, limits, faulty) }

        val granted = answers.count { it.covers(30_000) }

        granted shouldBe 3
        BufferReservation(table, limits, sound).covers(90_000) shouldBe true
    }

    @Test
    fun `memory is free again when its answers have ended`() {
        val table = createSharedTable(LockOrder.ANSWER_BUFFERS, BufferUse.NONE)
        val first = BufferReservation(table, limits, faulty)
        (1L..90_000L step 1_000).forEach { first.covers(it) shouldBe true }
        BufferReservation(table, limits, faulty).covers(90_000) shouldBe false

        first.release()
        first.release()

        table.snapshot() shouldBe BufferUse.NONE
        BufferReservation(table, limits, faulty).covers(90_000) shouldBe true
    }
}
