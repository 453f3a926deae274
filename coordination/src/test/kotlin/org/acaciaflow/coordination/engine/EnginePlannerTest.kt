package org.acaciaflow.coordination.engine

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.acaciaflow.coordination.load.LoadLedger
import org.acaciaflow.coordination.relay.ENGINE_POOL
import org.acaciaflow.coordination.relay.ENGINE_PROPERTIES
import org.acaciaflow.coordination.relay.OWN_DATA_CENTRE
import org.acaciaflow.coordination.relay.backend
import org.acaciaflow.coordination.relay.route
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.load.JobIdentity
import org.acaciaflow.state.load.RemoteLoad
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.prompt.PromptPart
import org.acaciaflow.state.route.RequestKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class EnginePlannerTest : AnnotationSpec() {
    private val now = Instant.fromEpochSeconds(1000)
    private val reader = backend("reader", ENGINE_POOL, EngineRole.PREFILL)
    private val decoder = backend("decoder", ENGINE_POOL, EngineRole.DECODE)
    private val second = backend("decoder-2", ENGINE_POOL, EngineRole.DECODE)
    private val long = prompt(12_000)
    private val short = prompt(200)

    @Test
    fun `a long prompt is read apart from the decoders`() {
        val path = EnginePlanner.choose(view(FleetLoad.NONE, reader, decoder), long, 1.seconds, now)

        path.shouldBeInstanceOf<EnginePath.Handover>()
    }

    @Test
    fun `a short prompt does not wait behind long ones`() {
        val busy = loaded(reader, 800.milliseconds, tokens = 12_000)

        val path = EnginePlanner.choose(view(busy, reader, decoder), short, 200.milliseconds, now)

        path.shouldBeInstanceOf<EnginePath.Straight>().decoder shouldBe decoder
    }

    @Test
    fun `the work of other gateways counts and wears off with its age`() {
        val told = RemoteLoad(400.milliseconds, running = 1, tokens = 0, receivedAt = now)
        val load =
            FleetLoad.NONE.copy(
                remote = persistentMapOf(reader.address to persistentMapOf(decoder.life to told)),
            )

        load.backlogAt(decoder.life, now) shouldBe 400.milliseconds
        load.backlogAt(decoder.life, now + 300.milliseconds) shouldBe 100.milliseconds
        load.backlogAt(decoder.life, now + 2.seconds) shouldBe Duration.ZERO
    }

    @Test
    fun `an engine that holds the shared part is preferred`() {
        val shared = Prompt(persistentListOf(PromptPart(7, 5_000), PromptPart(8, 1_000)), 6_000, 10)
        val other = backend("reader-2", ENGINE_POOL, EngineRole.PREFILL)
        val caches = PromptCaches.read(persistentMapOf(), other.life, shared.parts.take(1), 100_000, now)
        val view = view(FleetLoad.NONE, reader, other, decoder).copy(caches = caches)

        val path = EnginePlanner.choose(view, shared, 1.seconds, now)

        path.shouldBeInstanceOf<EnginePath.Handover>().reader shouldBe other
    }

    @Test
    fun `a decoder whose memory would run out is passed over`() {
        val full = loaded(decoder, Duration.ZERO, tokens = 95_000)

        val chosen = EnginePlanner.chooseDecoder(view(full, decoder, second), long, now)

        chosen shouldBe second
        EnginePlanner.hasRoom(view(full, decoder), long, urgency = 0) shouldBe false
    }

    @Test
    fun `less urgent work finds no room while urgent work still does`() {
        val busy = (1..60).fold(FleetLoad.NONE) { load, job -> with(load, decoder, Duration.ZERO, 1, job) }

        EnginePlanner.hasRoom(view(busy, decoder), short, urgency = 0) shouldBe true
        EnginePlanner.hasRoom(view(busy, decoder), short, urgency = 2) shouldBe false
    }

    @Test
    fun `there is no way without a decoder`() {
        EnginePlanner.choose(view(FleetLoad.NONE, reader), long, 1.seconds, now) shouldBe null
    }

    @Test
    fun `urgent requests are refused later than others`() {
        val urgent = route(RequestKind.EventStream(true), urgency = 0)
        val patient = route(RequestKind.EventStream(true), urgency = 2)
        val predicted = urgent.target * 2

        LateArrival.isTooLate(urgent, predicted) shouldBe false
        LateArrival.isTooLate(patient, predicted) shouldBe true
    }

    private fun view(
        load: FleetLoad,
        vararg engines: BackendEntry,
    ) = EngineView(
        engines = engines.toList(),
        load = load,
        caches = persistentMapOf(),
        records = persistentMapOf(),
        rates = RateLearning.INITIAL,
        properties = ENGINE_PROPERTIES,
        ownDataCentre = OWN_DATA_CENTRE,
    )

    private fun loaded(
        engine: BackendEntry,
        work: Duration,
        tokens: Int,
    ) = with(FleetLoad.NONE, engine, work, tokens, job = 1)

    private fun with(
        load: FleetLoad,
        engine: BackendEntry,
        work: Duration,
        tokens: Int,
        job: Int,
    ) = LoadLedger.sent(load, engine.life, JobIdentity(job.toLong()), work, tokens, now)

    private fun prompt(tokens: Int) = Prompt(persistentListOf(PromptPart(tokens.toLong(), tokens)), tokens, 10)
}
