package org.acaciaflow.coordination.stream

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.port.StoreFailure
import org.acaciaflow.coordination.relay.SERVICE_POOL
import org.acaciaflow.coordination.store.StoreFreshness
import org.acaciaflow.coordination.store.eraOf
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** New streams and take-ups that should not be refused, and calls that should not be made. */
class RecordingAvailabilityTest : AnnotationSpec() {
    /** Guards against all new streams refused after a release, while a slow store stores each record in time. */
    @Test
    fun `new streams of a pool whose base is gone are not refused while a slow store stores their records in time`() =
        runTest {
            val store = FakeRecordStore(latency = 300.milliseconds)
            val gateway = OriginGateway(this, store).apply { showServers(listOf(OLD)) }
            advanceTimeBy(5.seconds)
            gateway.showServers(listOf(NEW))

            val starts = mutableListOf<StartVersions>()
            val begins =
                (0 until 40).map {
                    delay(50.milliseconds)
                    starts += gateway.origins.startOf(stream(1), SERVICE_POOL)
                    async { gateway.began(stream(it), NEW) }
                }

            begins.awaitAll() shouldBe List(40) { true }
            starts.toSet() shouldBe setOf(StartVersions.Any)
        }

    /** Guards against streams that begin where no record can be stored, each time that the last record has expired. */
    @Test
    fun `new streams begin at the base for as long as the store is known to fail`() =
        runTest {
            val store = FakeRecordStore()
            val gateway = OriginGateway(this, store).apply { showServers(listOf(OLD)) }
            advanceTimeBy(5.seconds)
            gateway.showServers(listOf(OLD, NEW))
            store.failure = StoreFailure.UNREACHABLE
            gateway.tables.store.update {
                StoreFreshness.failed(it, Instant.fromEpochMilliseconds(1_000_000 + currentTime))
            }
            gateway.began(stream(1), NEW)
            val soon = gateway.origins.startOf(stream(1), SERVICE_POOL)

            advanceTimeBy(1.minutes)
            val later = gateway.origins.startOf(stream(1), SERVICE_POOL)

            soon shouldBe StartVersions.Only(OLD)
            later shouldBe StartVersions.Only(OLD)
        }

    /** Guards against calls to the store without a pause, each of which all gateways pay for. */
    @Test
    fun `a lease that is lost again and again is not replaced without a pause`() =
        runTest {
            val store = FakeRecordStore(latency = 5.milliseconds)
            val gateway = OriginGateway(this, store)
            backgroundScope.launch {
                while (true) {
                    store.endLeases()
                    delay(1.milliseconds)
                }
            }

            gateway.began(stream(1), NEW)

            store.granted.size shouldBeLessThan 20
        }

    /** Guards against a caller that is told never to ask again just before a live gateway stores the record again. */
    @Test
    fun `a caller may ask again for a stream that may get its record back after a return of the store`() =
        runTest {
            val store = FakeRecordStore()
            val (writing, looking) = List(2) { OriginGateway(this, store, it).apply { showServers(listOf(OLD)) } }
            advanceTimeBy(5.seconds)
            writing.began(stream(1), OLD)

            store.returnFromEmptyCopy()
            val atOnce = looking.originOf(stream(1))
            writing.eras.admit(eraOf(2), Instant.fromEpochMilliseconds(1_000_000 + currentTime))
            advanceTimeBy(2.seconds)
            val later = looking.versionOf(stream(1))

            later shouldBe OLD
            atOnce shouldNotBe StreamOrigin.Unknown(retryAfter = null)
        }
}
