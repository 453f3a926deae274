package org.acaciaflow.protocol.execution

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.collections.immutable.PersistentList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.execution.RecordResolution
import org.acaciaflow.coordination.execution.RecordStep
import org.acaciaflow.coordination.execution.SettleOutcome
import org.acaciaflow.coordination.execution.UnresolvedExecutions
import org.acaciaflow.coordination.execution.stepAfterRead
import org.acaciaflow.coordination.port.ListedExecution
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.protocol.record.StoredExecutionRecords
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.DeploymentName
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.identity.RequestIdentity
import org.acaciaflow.state.record.ExecutionRecord
import org.acaciaflow.state.refusal.MayHaveRun
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Instant

class UnresolvedExecutionsTest : AnnotationSpec() {
    private val now = Instant.fromEpochSeconds(1_000_000)
    private val process = ProcessIdentity(HostAddress("127.0.0.1", 7000), startNumber = 1)
    private val attempt = AttemptIdentity(process, sequence = 1)

    @Test
    fun `only unknown and long-running executions are listed`() =
        runTest {
            val records = records(this)
            records.swap(identity("lost"), 0, ExecutionRecord.Unknown(attempt, process, MayHaveRun.LINK_LOST, now))
            records.swap(identity("old"), 0, ExecutionRecord.MaybeRunning(attempt, process, now - 6.minutes))
            records.swap(identity("fresh"), 0, ExecutionRecord.MaybeRunning(attempt, process, now))
            records.swap(identity("done"), 0, ExecutionRecord.Answered(attempt, answer = null, now))

            val listed = UnresolvedExecutions(records).list(now)

            listed.shouldBeInstanceOf<StoreResult.Success<PersistentList<ListedExecution>>>()
            listed.value.map { it.identity.key }.toSet() shouldBe setOf("lost", "old")
        }

    @Test
    fun `a request settled as not executed may run again and one settled as executed may not`() =
        runTest {
            for (executed in listOf(true, false)) {
                val records = records(this)
                val unknown = ExecutionRecord.Unknown(attempt, process, MayHaveRun.LINK_LOST, now)
                records.swap(identity("lost"), 0, unknown)

                val outcome = UnresolvedExecutions(records).settle(identity("lost"), executed, "asked", now)

                outcome shouldBe SettleOutcome.Settled
                val read = records.read(identity("lost"))
                val step = stepAfterRead((read as StoreResult.Success).value)
                (step as RecordStep.Resolved).resolution::class shouldBe
                    if (executed) RecordResolution.Refused::class else RecordResolution.Proceed::class
            }
        }

    @Test
    fun `a request with a known outcome cannot be settled`() =
        runTest {
            val records = records(this)
            records.swap(identity("done"), 0, ExecutionRecord.Answered(attempt, answer = null, now))

            val outcome = UnresolvedExecutions(records).settle(identity("done"), executed = false, "guess", now)

            outcome shouldBe SettleOutcome.NotUnresolved
        }

    private fun records(scope: CoroutineScope): StoredExecutionRecords =
        StoredExecutionRecords(FakeKeyValueStore(scope, Random(SEED), faultRate = 0.0))

    private fun identity(key: String): RequestIdentity = RequestIdentity(DeploymentName("register"), key)

    private companion object {
        const val SEED = 4207
    }
}
