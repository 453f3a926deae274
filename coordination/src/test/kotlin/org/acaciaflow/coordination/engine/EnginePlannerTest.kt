package org.acaciaflow.coordination.engine

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.nulls.shouldNotBeNull
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
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.load.EngineRates
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.load.JobIdentity
import org.acaciaflow.state.load.RemoteLoad
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.prompt.PromptPart
import org.acaciaflow.state.route.RequestKind
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class EnginePlannerTest : AnnotationSpec() {
    private val now = Instant.fromEpochSeconds(1000)
    private val random = Random(11)
    private val prefillEngine = backend("prefill", ENGINE_POOL, EngineRole.PREFILL)
    private val decodeEngine = backend("decode", ENGINE_POOL, EngineRole.DECODE)
    private val secondDecodeEngine = backend("decode-2", ENGINE_POOL, EngineRole.DECODE)
    private val long = prompt(12_000)
    private val short = prompt(200)

    @Test
    fun `a long prompt is prefilled remotely`() {
        val path =
            EnginePlanner.choose(
                view(FleetLoad.NONE, prefillEngine, decodeEngine),
                long,
                routeFor(1.seconds),
                now,
                random,
            )

        path.shouldBeInstanceOf<EnginePath.RemotePrefill>()
    }

    @Test
    fun `a short prompt is prefilled locally while the prefill engine is busy`() {
        val busy = loaded(prefillEngine, 800.milliseconds, tokens = 12_000)

        val path =
            EnginePlanner.choose(
                view(busy, prefillEngine, decodeEngine),
                short,
                routeFor(200.milliseconds),
                now,
                random,
            )

        path.shouldBeInstanceOf<EnginePath.LocalPrefill>().engine shouldBe decodeEngine
    }

    @Test
    fun `the work of other gateways counts and shrinks with its age`() {
        val reported = RemoteLoad(400.milliseconds, waiting = 4, running = 4, tokens = 0)
        val load =
            FleetLoad.NONE.copy(
                remote = persistentMapOf(decodeEngine.life to reported),
                remoteMeasuredAt = now,
            )

        load.backlogAt(decodeEngine.life, now) shouldBe 350.milliseconds
        load.backlogAt(decodeEngine.life, now + 300.milliseconds) shouldBe 50.milliseconds
        load.backlogAt(decodeEngine.life, now + 2.seconds) shouldBe Duration.ZERO
    }

    @Test
    fun `jobs of several gateways at one engine are served one after the other`() {
        val others = RemoteLoad(160.milliseconds, waiting = 2, running = 2, tokens = 0)
        val own = loaded(prefillEngine, 80.milliseconds, tokens = 7_000)
        val load = own.copy(remote = persistentMapOf(prefillEngine.life to others), remoteMeasuredAt = now)

        load.backlogAt(prefillEngine.life, now) shouldBe 200.milliseconds
    }

    @Test
    fun `an engine that has the shared part cached is preferred`() {
        val shared = Prompt(persistentListOf(PromptPart(7, 5_000), PromptPart(8, 1_000)), 6_000, 10)
        val cachingEngine = backend("prefill-2", ENGINE_POOL, EngineRole.PREFILL)
        val caches = PromptCaches.prefilled(persistentMapOf(), cachingEngine.life, shared.parts.take(1), 100_000, now)
        val view = view(FleetLoad.NONE, prefillEngine, cachingEngine, decodeEngine).copy(caches = caches)

        val path = EnginePlanner.choose(view, shared, routeFor(1.seconds), now, random)

        path.shouldBeInstanceOf<EnginePath.RemotePrefill>().prefillEngine shouldBe cachingEngine
    }

    @Test
    fun `a shared part is not read again elsewhere while its engine can still be on time`() {
        val shared = Prompt(persistentListOf(PromptPart(7, 5_000), PromptPart(8, 1_000)), 6_000, 10)
        val cachingEngine = backend("prefill-2", ENGINE_POOL, EngineRole.PREFILL)
        val caches = PromptCaches.prefilled(persistentMapOf(), cachingEngine.life, shared.parts.take(1), 100_000, now)
        val busy = loaded(cachingEngine, 300.milliseconds, tokens = 12_000)
        val view = view(busy, prefillEngine, cachingEngine, decodeEngine).copy(caches = caches)

        val path = EnginePlanner.choose(view, shared, routeFor(1.seconds), now, random)

        path.shouldBeInstanceOf<EnginePath.RemotePrefill>().prefillEngine shouldBe cachingEngine
    }

    @Test
    fun `a shared part is read again elsewhere when its engine would be late`() {
        val shared = Prompt(persistentListOf(PromptPart(7, 5_000), PromptPart(8, 1_000)), 6_000, 10)
        val cachingEngine = backend("prefill-2", ENGINE_POOL, EngineRole.PREFILL)
        val caches = PromptCaches.prefilled(persistentMapOf(), cachingEngine.life, shared.parts.take(1), 100_000, now)
        val busy = loaded(cachingEngine, 100.milliseconds, tokens = 100, jobs = 100)
        val view = view(busy, prefillEngine, cachingEngine, decodeEngine).copy(caches = caches)

        val path = EnginePlanner.choose(view, shared, routeFor(1.seconds), now, random)

        path.shouldBeInstanceOf<EnginePath.RemotePrefill>().prefillEngine shouldBe prefillEngine
    }

    @Test
    fun `gateways that know of no cached copy place prompts with the same shared part on the same engine`() {
        val engines = (1..12).map { backend("prefill-$it", ENGINE_POOL, EngineRole.PREFILL) } + decodeEngine
        val chosen =
            (1..20).map { gateway ->
                val own = Prompt(persistentListOf(PromptPart(7, 5_000), PromptPart(gateway + 100L, 1_000)), 6_000, 10)
                val path =
                    EnginePlanner.choose(
                        view(FleetLoad.NONE, *engines.toTypedArray()),
                        own,
                        routeFor(1.seconds),
                        now,
                        random,
                    )
                path.shouldBeInstanceOf<EnginePath.RemotePrefill>().prefillEngine
            }

        chosen.toSet().size shouldBe 1
    }

    @Test
    fun `an idle decode engine prefills a long prompt while the prefill engines are busy`() {
        val busy = loaded(prefillEngine, 100.milliseconds, tokens = 12_000, jobs = 10)

        val path = EnginePlanner.choose(view(busy, prefillEngine, decodeEngine), long, routeFor(1.seconds), now, random)

        path.shouldBeInstanceOf<EnginePath.LocalPrefill>()
    }

    @Test
    fun `a short prompt waits for one piece of each long prompt before it`() {
        val busy = loaded(prefillEngine, 150.milliseconds, tokens = 12_000, jobs = 4)

        val path =
            EnginePlanner.choose(
                view(busy, prefillEngine, decodeEngine),
                prompt(400),
                routeFor(1.seconds),
                now,
                random,
            )

        (path.shouldNotBeNull().predicted < 100.milliseconds) shouldBe true
    }

    @Test
    fun `a kind that more urgent prompts overtake avoids the prefill engines`() {
        val rates =
            (1..20).fold(persistentMapOf<PoolName, EngineRates>()) { known, _ ->
                RateEstimator.withDelay(known, ENGINE_POOL, urgency = 2, predicted = 100.milliseconds, 500.milliseconds)
            }
        val busy = loaded(prefillEngine, 250.milliseconds, tokens = 12_000)
        val view = view(busy, prefillEngine, decodeEngine).copy(rates = rates.getValue(ENGINE_POOL))

        val urgent = EnginePlanner.choose(view, long, routeFor(1.seconds, urgency = 0), now, random)
        val background = EnginePlanner.choose(view, long, routeFor(1.seconds, urgency = 2), now, random)

        urgent.shouldBeInstanceOf<EnginePath.RemotePrefill>()
        background.shouldBeInstanceOf<EnginePath.LocalPrefill>()
    }

    @Test
    fun `an engine without enough memory is skipped`() {
        val full = loaded(decodeEngine, Duration.ZERO, tokens = 95_000)

        val chosen = EnginePlanner.chooseDecodeEngine(view(full, decodeEngine, secondDecodeEngine), long, now, random)

        chosen shouldBe secondDecodeEngine
        EnginePlanner.hasRoom(view(full, decodeEngine), long, urgency = 0) shouldBe false
    }

    @Test
    fun `urgent requests get slots that less urgent ones do not`() {
        val busy = (1..60).fold(FleetLoad.NONE) { load, job -> withJob(load, decodeEngine, Duration.ZERO, 1, job) }

        EnginePlanner.hasRoom(view(busy, decodeEngine), short, urgency = 0) shouldBe true
        EnginePlanner.hasRoom(view(busy, decodeEngine), short, urgency = 2) shouldBe false
    }

    @Test
    fun `there is no path without a decode engine`() {
        EnginePlanner.choose(view(FleetLoad.NONE, prefillEngine), long, routeFor(1.seconds), now, random) shouldBe null
    }

    @Test
    fun `urgent requests tolerate a longer predicted wait than others`() {
        val urgent = route(RequestKind.EventStream(true), urgency = 0)
        val background = route(RequestKind.EventStream(true), urgency = 2)
        val path = EnginePath.LocalPrefill(decodeEngine, work = Duration.ZERO, predicted = urgent.target * 2)

        LatencyAdmissionPolicy.isTooLate(urgent, path, timeLeft = 8.seconds) shouldBe false
        LatencyAdmissionPolicy.isTooLate(background, path, timeLeft = 8.seconds) shouldBe true
    }

    @Test
    fun `prompts of every size are admitted when they wait equally long and fit into the caller's time`() {
        val background = route(RequestKind.EventStream(true), urgency = 2)
        val wait = background.target / 2

        for (tokens in listOf(200, 2_000, 12_000, 48_000)) {
            val work = EnginePlanner.prefillTime(view(FleetLoad.NONE, prefillEngine), prefillEngine, prompt(tokens))
            val path = EnginePath.RemotePrefill(prefillEngine, wait + work, work, wait + work)

            LatencyAdmissionPolicy.isTooLate(background, path, timeLeft = 5.seconds) shouldBe false
        }
    }

    @Test
    fun `a prompt that cannot be prefilled in the caller's time is refused`() {
        val background = route(RequestKind.EventStream(true), urgency = 2)
        val path = EnginePath.RemotePrefill(prefillEngine, 1.seconds, work = 950.milliseconds, predicted = 1.seconds)

        LatencyAdmissionPolicy.isTooLate(background, path, timeLeft = 1.seconds) shouldBe true
    }

    private fun routeFor(
        target: Duration,
        urgency: Int = 0,
    ) = route(RequestKind.EventStream(true), ENGINE_POOL, urgency = urgency).copy(target = target)

    private fun view(
        load: FleetLoad,
        vararg engines: BackendEntry,
    ) = EngineView(
        engines = engines.toList(),
        load = load,
        caches = persistentMapOf(),
        reliability = persistentMapOf(),
        rates = RateEstimator.INITIAL,
        averagePrefill = null,
        properties = ENGINE_PROPERTIES,
        ownDataCentre = OWN_DATA_CENTRE,
    )

    private fun loaded(
        engine: BackendEntry,
        work: Duration,
        tokens: Int,
        jobs: Int = 1,
    ) = (1..jobs).fold(FleetLoad.NONE) { load, job -> withJob(load, engine, work, tokens, job) }

    private fun withJob(
        load: FleetLoad,
        engine: BackendEntry,
        work: Duration,
        tokens: Int,
        job: Int,
    ) = LoadLedger.sent(load, engine.life, JobIdentity(job.toLong()), work, tokens, now)

    private fun prompt(tokens: Int) = Prompt(persistentListOf(PromptPart(tokens.toLong(), tokens)), tokens, 10)
}
