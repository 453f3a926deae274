package org.acaciaflow.coordination.suspect

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.port.LoopSupervisor
import org.acaciaflow.coordination.port.StoreResult
import org.acaciaflow.coordination.port.SuspectChange
import org.acaciaflow.coordination.port.SuspectRecords
import org.acaciaflow.coordination.relay.FakeObservations
import org.acaciaflow.state.identity.AttemptIdentity
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.ProcessIdentity
import org.acaciaflow.state.lock.LockOrder
import org.acaciaflow.state.suspect.CrashSuspect
import org.acaciaflow.state.suspect.CrashSuspects
import org.acaciaflow.state.table.createSharedTable
import org.acaciaflow.state.work.RequestDigest
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class CrashSuspectRegistryTest : AnnotationSpec() {
    private val now = Instant.fromEpochSeconds(1_000)
    private val digest = RequestDigest("ab")
    private val attempt = AttemptIdentity(ProcessIdentity(HostAddress("10.0.0.1", 7000), startNumber = 1), sequence = 1)

    /** Guards against a watch that stays open without events, so that crashes seen by other gateways stay unknown. */
    @Test
    fun `a suspect is known within ten seconds although the watch is silent`() =
        runTest {
            val records = SilentRecords()
            val table = createSharedTable(LockOrder.CRASH_SUSPECTS, CrashSuspects.NONE)
            val registry = CrashSuspectRegistry(records, table, FakeObservations())
            val supervisor =
                object : LoopSupervisor {
                    override fun startLoop(
                        name: String,
                        loop: suspend () -> Unit,
                    ) {
                        backgroundScope.launch { loop() }
                    }
                }

            registry.start(supervisor)
            delay(1.seconds)
            records.stored = persistentMapOf(digest to CrashSuspect(persistentSetOf(attempt), now))
            delay(10.seconds)

            registry.verdict(digest, now) shouldBe SuspectVerdict.RUN_ALONE
        }

    private class SilentRecords : SuspectRecords {
        var stored = persistentMapOf<RequestDigest, CrashSuspect>()

        override suspend fun change(
            digest: RequestDigest,
            change: (CrashSuspect?) -> CrashSuspect?,
        ): StoreResult<CrashSuspect?> = StoreResult.Success(change(null))

        override suspend fun list(): StoreResult<PersistentMap<RequestDigest, CrashSuspect>> =
            StoreResult.Success(stored)

        override fun changes(): Flow<SuspectChange> = flow { awaitCancellation() }
    }
}
