package org.acaciaflow.coordination.relay

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.test.runTest
import org.acaciaflow.coordination.stream.StartVersions
import org.acaciaflow.coordination.stream.StreamIdentity
import org.acaciaflow.coordination.stream.StreamOrigin
import org.acaciaflow.coordination.stream.StreamOrigins
import org.acaciaflow.coordination.stream.StreamPlace
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.refusal.MayHaveRun
import org.acaciaflow.state.refusal.NotRun
import org.acaciaflow.state.route.RequestKind
import kotlin.time.Duration.Companion.seconds

/** A stream that its caller takes up with a request of its own goes on at the software version that began it. */
class TakeUpTest : AnnotationSpec() {
    private var caller = FakeCaller()
    private var connections = ScriptedConnections(mutableListOf())
    private var observations = FakeObservations()
    private val servers = listOf(server("newer-1", NEWER), server("former-1", FORMER), server("newer-2", NEWER))

    @BeforeEach
    fun reset() {
        caller = FakeCaller()
        connections = ScriptedConnections(mutableListOf(Reaction.Streams(breakAt = null)))
        observations = FakeObservations()
    }

    /** Guards against a stream that goes on at another version over its caller's attempts. */
    @Test
    fun `a take-up is sent to a server of the version that began its stream`() {
        val origins = FixedOrigins(beganAt(FORMER))

        play(origins, resumeAfter = "2", firstAttempt = "first")

        caller.text shouldBe "defgh"
        connections.orders.map { it.backend.software } shouldContainExactly listOf(FORMER)
        origins.asked shouldContainExactly listOf(StreamIdentity("first", PLACE))
        observations.takeUps shouldContainExactly listOf(TakeUpOutcome.WENT_ON)
    }

    /** Guards against a stream that is joined since nobody knows where it began. */
    @Test
    fun `a take-up of unknown origin is refused as not run`() {
        play(FixedOrigins(StreamOrigin.Unknown(retryAfter = 1.seconds)), resumeAfter = "2", firstAttempt = "first")

        caller.refusal shouldBe NotRun.STREAM_ORIGIN_UNKNOWN
        caller.retryAfter shouldBe 1.seconds
        connections.orders.shouldBeEmpty()
        observations.takeUps shouldContainExactly listOf(TakeUpOutcome.ORIGIN_UNKNOWN)
    }

    /** Guards against callers who wait until their deadline for a version that has left. */
    @Test
    fun `a take-up whose version has left is refused at once and not asked to return`() {
        val origin = beganAt(SoftwareVersion("4"))

        play(FixedOrigins(origin), resumeAfter = "2", firstAttempt = "first")

        caller.refusal shouldBe NotRun.STREAM_VERSION_GONE
        caller.retryAfter shouldBe null
        connections.orders.shouldBeEmpty()
        observations.takeUps shouldContainExactly listOf(TakeUpOutcome.VERSION_GONE)
    }

    /** Guards against a new stream that is bound to another one. */
    @Test
    fun `a request without a last event begins a stream of its own`() {
        val origins = FixedOrigins(StreamOrigin.Unknown(retryAfter = null))

        play(origins, resumeAfter = null, firstAttempt = "first")

        caller.text shouldBe "abcdefgh"
        origins.asked.shouldBeEmpty()
        origins.noted shouldContainExactly listOf(StreamIdentity("request-1", PLACE))
        observations.takeUps.shouldBeEmpty()
    }

    /** Guards against a second take-up that finds nothing, since callers always name the first attempt. */
    @Test
    fun `a stream that was taken up keeps the name of its first attempt`() {
        val origins = FixedOrigins(beganAt(FORMER))

        play(origins, resumeAfter = "2", firstAttempt = "first")

        origins.noted shouldContainExactly listOf(StreamIdentity("first", PLACE))
    }

    /** Guards against a caller that has an event whose origin is lost when the gateway is killed. */
    @Test
    fun `no event is passed on before its origin is noted`() {
        var textWhenNoted: String? = null
        val origins = FixedOrigins(beganAt(FORMER), onNoted = { textWhenNoted = caller.text })

        play(origins, resumeAfter = null, firstAttempt = null)

        textWhenNoted shouldBe ""
        caller.text shouldBe "abcdefgh"
    }

    /** Guards against events that no other gateway can tell the version of. */
    @Test
    fun `a stream that could not be recorded ends before its first event and is not run again`() {
        connections = ScriptedConnections(MutableList(2) { Reaction.Streams(breakAt = null) })

        play(FixedOrigins(beganAt(FORMER), recorded = false), resumeAfter = null, firstAttempt = null)

        caller.text shouldBe ""
        caller.refusal shouldBe MayHaveRun.STREAM_UNRECORDED
        connections.orders.size shouldBe 1
    }

    /** Guards against streams at versions that can't be recorded now. */
    @Test
    fun `a new stream begins at the version that needs no record, or is refused as not run`() {
        play(FixedOrigins(beganAt(FORMER), StartVersions.Only(FORMER)), resumeAfter = null, firstAttempt = null)
        val versions = connections.orders.map { it.backend.software }
        reset()
        play(FixedOrigins(beganAt(FORMER), StartVersions.None(2.seconds)), resumeAfter = null, firstAttempt = null)

        versions shouldContainExactly listOf(FORMER)
        caller.refusal shouldBe NotRun.STREAM_UNRECORDABLE
        caller.retryAfter shouldBe 2.seconds
        connections.orders.shouldBeEmpty()
    }

    /** Guards against take-ups at a pool that did not begin the stream, if a route has several. */
    @Test
    fun `a take-up is sent to the pool of its first attempt`() {
        val route = route(RequestKind.EventStream(resumable = true))
        val facts = sampleRequest("second", route).facts.copy(resumeAfter = "2", firstAttempt = "first")

        poolIdOf(route, facts) shouldBe "first"
        poolIdOf(route, facts.copy(firstAttempt = null)) shouldBe "second"
        poolIdOf(route, facts.copy(resumeAfter = null)) shouldBe "second"
    }

    private fun play(
        origins: StreamOrigins,
        resumeAfter: String?,
        firstAttempt: String?,
    ) = runTest {
        val tables = tablesWith(route(RequestKind.EventStream(resumable = true)), servers)
        createTestRelay(
            tables,
            connections,
            prompt = null,
            resumeAfter = resumeAfter,
            origins = origins,
            firstAttempt = firstAttempt,
            observations = observations,
        ).accept(caller)
    }

    private fun server(
        name: String,
        version: SoftwareVersion,
    ): BackendEntry = backend(name).copy(software = version)

    private companion object {
        val PLACE = StreamPlace("caller.example", "/calls/1")
        val FORMER = SoftwareVersion("5")
        val NEWER = SoftwareVersion("6")
    }
}
