package org.acaciaflow.coordination.sidecar

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import kotlinx.collections.immutable.persistentListOf
import org.acaciaflow.coordination.execution.SettleAnswer
import org.acaciaflow.coordination.port.AttemptOrder
import org.acaciaflow.state.attempt.AttemptProgress
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.refusal.AttemptRefusal
import org.acaciaflow.state.sidecar.SidecarPhase
import org.acaciaflow.state.work.CallHead
import org.acaciaflow.state.work.Rank
import org.acaciaflow.state.work.RequestDigest
import kotlin.time.Duration.Companion.seconds

class AttemptAdmissionTest : AnnotationSpec() {
    private val self = ProcessIdentity(HostAddress("127.0.0.1", 7000), startNumber = 1)
    private val gateway = ProcessIdentity(HostAddress("127.0.0.1", 8000), startNumber = 2)

    @Test
    fun `an attempt that was settled before it arrived never starts`() {
        val admission = servingAdmission(journalCapacity = 8)

        val settled = admission.settle(attempt(1), self)
        val refusal = admission.admit(order(1))

        settled shouldBe SettleAnswer.NeverStarted
        refusal shouldBe AttemptRefusal.TOMBSTONED
    }

    @Test
    fun `an attempt for another lifetime of the sidecar is refused`() {
        val admission = servingAdmission(journalCapacity = 8)
        val otherLife = self.copy(startNumber = 9)

        val refusal = admission.admit(order(1).copy(sidecar = otherLife))
        val settled = admission.settle(attempt(1), otherLife)

        refusal shouldBe AttemptRefusal.OTHER_LIFE
        settled shouldBe SettleAnswer.Forgotten
    }

    @Test
    fun `an attempt delivered twice runs once`() {
        val admission = servingAdmission(journalCapacity = 8)

        val first = admission.admit(order(1))
        admission.finish(order(1), AttemptProgress.Completed(answer = null))
        val second = admission.admit(order(1))

        first shouldBe null
        second shouldBe AttemptRefusal.REPEATED_ATTEMPT
    }

    @Test
    suspend fun `no interleaving starts an attempt twice or settles a started one as never started`() {
        val config = PropTestConfig(seed = SEED, iterations = 2000)
        println("seed $SEED")

        checkAll(config, Arb.list(Arb.pair(Arb.int(1..6), Arb.boolean()), 1..40)) { steps ->
            val admission = servingAdmission(journalCapacity = 3)
            var started = setOf<Int>()

            for ((sequence, settles) in steps) {
                if (settles) {
                    val answer = admission.settle(attempt(sequence), self)
                    if (sequence in started) answer shouldNotBe SettleAnswer.NeverStarted
                } else if (admission.admit(order(sequence)) == null) {
                    (sequence in started) shouldBe false
                    started = started + sequence
                    admission.finish(order(sequence), AttemptProgress.Completed(answer = null))
                }
            }
        }
    }

    private fun servingAdmission(journalCapacity: Int): AttemptAdmission {
        val tables = createSidecarTables(capacity = 4, journalCapacity)
        tables.load.update { it.copy(phase = SidecarPhase.Serving) }
        return AttemptAdmission(self, tables)
    }

    private fun attempt(sequence: Int): AttemptIdentity = AttemptIdentity(gateway, sequence.toLong())

    private fun order(sequence: Int): AttemptOrder =
        AttemptOrder(
            attempt = attempt(sequence),
            sidecar = self,
            call = CallHead("POST", "/claims", persistentListOf()),
            rank = Rank.URGENT,
            atMostOnce = true,
            alone = false,
            digest = RequestDigest("00"),
            resumeFromToken = 0,
            timeLeft = 5.seconds,
        )

    private companion object {
        const val SEED = 4202L
    }
}
