package org.acaciaflow.coordination.stream

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.relay.RelayTables
import org.acaciaflow.coordination.relay.SERVICE_POOL
import org.acaciaflow.coordination.relay.backend
import org.acaciaflow.coordination.relay.rememberedOrigins
import org.acaciaflow.coordination.relay.route
import org.acaciaflow.coordination.relay.tablesWith
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.route.RequestKind
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Tests what one process knows of where streams began. */
class RememberedStreamOriginsTest : AnnotationSpec() {
    private val former = SoftwareVersion("5")
    private val newer = SoftwareVersion("6")
    private var now = Instant.fromEpochSeconds(1000)
    private val clock =
        object : Clock {
            override fun now(): Instant = this@RememberedStreamOriginsTest.now
        }

    /** Guards against a stream that goes on at another version although this process began it. */
    @Test
    fun `a stream that began here has the version that it began at`() =
        runTest {
            val origins = tablesWith(server("a", former), server("b", newer)).rememberedOrigins(clock)

            origins.began(stream("first"), SERVICE_POOL, newer)
            origins.began(stream("second"), SERVICE_POOL, former)

            versionOf(origins, stream("first")) shouldBe newer
            versionOf(origins, stream("second")) shouldBe former
        }

    /** Guards against callers who go on with the stream of another host, or at a pool that did not begin it. */
    @Test
    fun `a stream of another host or another pool is unknown`() =
        runTest {
            val origins = tablesWith(server("a", former), server("b", newer)).rememberedOrigins(clock)

            origins.began(stream("first"), SERVICE_POOL, newer)

            val foreign = StreamIdentity("first", StreamPlace("other.example", "/"))
            origins.originOf(foreign, PLACE, SERVICE_POOL) shouldBe StreamOrigin.Unknown(retryAfter = null)
            val elsewhere = origins.originOf(stream("first"), PLACE, PoolName("other"))
            elsewhere shouldBe StreamOrigin.Unknown(retryAfter = null)
        }

    /** Guards against a stream that goes on at the only version that this process has seen. */
    @Test
    fun `a stream that did not begin here is unknown, also with one version only`() =
        runTest {
            val origins = tablesWith(server("a", former), server("b", former)).rememberedOrigins(clock)

            origins.originOf(null, PLACE, SERVICE_POOL) shouldBe StreamOrigin.Unknown(retryAfter = null)
            origins.originOf(stream("first"), PLACE, SERVICE_POOL) shouldBe StreamOrigin.Unknown(retryAfter = null)
        }

    /** Guards against a memory that grows with every stream. */
    @Test
    fun `streams are forgotten after the longest timeout and above the maximum`() =
        runTest {
            val tables = tablesWith(server("a", former), server("b", newer))
            val origins =
                RememberedStreamOrigins(tables.streamOrigins, tables.routing, clock, maximumStreams = 2)

            origins.began(stream("first"), SERVICE_POOL, former)
            now += 1.seconds
            origins.began(stream("second"), SERVICE_POOL, former)
            origins.began(stream("third"), SERVICE_POOL, former)
            val bounded =
                tables.streamOrigins
                    .snapshot()
                    .streams.keys
            now += TIMEOUT + 1.milliseconds
            origins.began(stream("fourth"), SERVICE_POOL, former)
            val aged =
                tables.streamOrigins
                    .snapshot()
                    .streams.keys

            bounded shouldBe setOf(stream("second"), stream("third"))
            aged shouldBe setOf(stream("fourth"))
        }

    private suspend fun versionOf(
        origins: StreamOrigins,
        stream: StreamIdentity,
    ): SoftwareVersion? = (origins.originOf(stream, PLACE, SERVICE_POOL) as? StreamOrigin.Known)?.proof?.version

    private fun stream(requestId: String) = StreamIdentity(requestId, PLACE)

    private fun server(
        name: String,
        version: SoftwareVersion,
    ): BackendEntry = backend(name).copy(software = version)

    private fun tablesWith(vararg servers: BackendEntry): RelayTables =
        tablesWith(route(RequestKind.EventStream(resumable = true)).copy(timeout = TIMEOUT), servers.toList())

    private companion object {
        val TIMEOUT = 4.seconds
    }
}
