package org.acaciaflow.state.lock

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.acaciaflow.state.table.Transition
import org.acaciaflow.state.table.createSharedTable

class SharedTableTest : AnnotationSpec() {
    @Test
    fun `a lower lock taken under a higher one is a violation`() {
        val low = createSharedTable(LockOrder.CONFIGURATION, 0)
        val high = createSharedTable(LockOrder.BACKEND_SERVERS, 0)

        val violation =
            shouldThrow<LockOrderViolation> {
                high.transition { outer -> low.transition { inner -> Transition(inner, Transition(outer, Unit)) } }
            }

        violation.held shouldBe LockOrder.BACKEND_SERVERS
        violation.requested shouldBe LockOrder.CONFIGURATION
    }

    @Test
    suspend fun `nested locks are granted exactly when they ascend`() {
        val config = PropTestConfig(seed = SEED)
        println("seed $SEED")

        checkAll(config, Arb.list(Arb.enum<LockOrder>(), 1..5)) { orders ->
            val ascending = orders.zipWithNext().all { (first, second) -> first.number < second.number }

            val granted = runCatching { nest(orders) }.isSuccess

            granted shouldBe ascending
        }
    }

    @Test
    fun `a violation leaves no lock held`() {
        val low = createSharedTable(LockOrder.CONFIGURATION, 1)
        val high = createSharedTable(LockOrder.BACKEND_SERVERS, 1)
        runCatching { high.update { it + low.update { inner -> inner } } }

        val sum = low.update { it + high.update { inner -> inner + 1 } }

        sum shouldBe 3
    }

    private fun nest(orders: List<LockOrder>) {
        val first = orders.firstOrNull() ?: return
        createSharedTable(first, 0).update {
            nest(orders.drop(1))
            it
        }
    }

    private companion object {
        const val SEED = 4201L
    }
}
