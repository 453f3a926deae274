package org.acaciaflow.standin.load

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.HdrHistogram.Histogram
import org.acaciaflow.coordination.engine.EnginePlanner
import org.acaciaflow.coordination.engine.EngineView
import org.acaciaflow.coordination.engine.PromptCaches
import org.acaciaflow.coordination.engine.RateEstimator
import org.acaciaflow.state.backend.EngineRole
import org.acaciaflow.state.fleet.BackendEntry
import org.acaciaflow.state.fleet.BackendLife
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.identity.PoolName
import org.acaciaflow.state.identity.RouteName
import org.acaciaflow.state.identity.SoftwareVersion
import org.acaciaflow.state.load.FleetLoad
import org.acaciaflow.state.load.RemoteLoad
import org.acaciaflow.state.prompt.Prompt
import org.acaciaflow.state.prompt.PromptCache
import org.acaciaflow.state.prompt.PromptPart
import org.acaciaflow.state.route.EngineProperties
import org.acaciaflow.state.route.RequestKind
import org.acaciaflow.state.route.Route
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** `acaciaflow-standin decision-cost`: measures how long a gateway takes to choose the engines of one generation. */
internal class DecisionCostCommand : CoreCliktCommand(name = "decision-cost") {
    private val seed by option("--seed", help = "The seed of the prompts and loads.").int().default(1)
    private val rounds by option("--rounds", help = "The number of measured decisions.").int().default(20_000)

    override fun help(context: Context): String =
        "Prints the time of one decision at 10, 42 and 600 engines, whatever the number of gateways: the load of all " +
            "others is one sum a server. Example: acaciaflow-standin decision-cost --seed 1"

    override fun run() {
        echo("engines  median us  99th us")
        for (engines in listOf(10, 42, 600)) {
            val histogram = measure(engines)
            val median = histogram.getValueAtPercentile(50.0) / NANOSECONDS_PER_MICROSECOND
            val high = histogram.getValueAtPercentile(99.0) / NANOSECONDS_PER_MICROSECOND
            echo("%7d  %9.1f  %7.1f".format(engines, median, high))
        }
    }

    private fun measure(engines: Int): Histogram {
        val random = Random(seed)
        val view = viewOf(engines, random)
        val histogram = Histogram(SIGNIFICANT_DIGITS)
        repeat(rounds * 2) { round ->
            val prompt = promptOf(random)
            val before = System.nanoTime()
            EnginePlanner.choose(view, prompt, ROUTE, NOW, random)
            if (round >= rounds) histogram.recordValue(System.nanoTime() - before)
        }
        return histogram
    }

    private fun viewOf(
        count: Int,
        random: Random,
    ): EngineView {
        val engines = (1..count).map { entry(it, if (it % 4 == 0) EngineRole.PREFILL else EngineRole.DECODE) }
        val remote = engines.associate { it.life to RemoteLoad((random.nextInt(300)).milliseconds, 4, 8, 90_000) }
        val caches =
            engines.fold(persistentMapOf<BackendLife, PromptCache>()) { known, engine ->
                (1..CACHED_PROMPTS).fold(known) { filled, _ ->
                    PromptCaches.prefilled(filled, engine.life, promptOf(random).parts, PROPERTIES.cacheTokens, NOW)
                }
            }
        return EngineView(
            engines = engines,
            load = FleetLoad.NONE.copy(remote = remote.toPersistentMap(), remoteMeasuredAt = NOW - 100.milliseconds),
            caches = caches,
            reliability = persistentMapOf(),
            rates = RateEstimator.INITIAL,
            averagePrefill = null,
            properties = PROPERTIES,
            ownDataCentre = DataCentre("centre-1"),
        )
    }

    private fun entry(
        number: Int,
        role: EngineRole,
    ) = BackendEntry(
        life = BackendLife("engine-$number", 1),
        pool = POOL,
        address = HostAddress("10.0.0.1", number),
        dataCentre = DataCentre("centre-${number % 6}"),
        slots = PROPERTIES.slots,
        draining = false,
        role = role,
        software = SoftwareVersion("1"),
    )

    private fun promptOf(random: Random): Prompt {
        val parts =
            persistentListOf(
                PromptPart(random.nextLong(4), 500),
                PromptPart(10 + random.nextLong(600), 4_800),
                PromptPart(random.nextLong(), 6_600),
            )
        return Prompt(parts, parts.sumOf { it.tokens }, 42)
    }

    private companion object {
        const val NANOSECONDS_PER_MICROSECOND = 1000.0
        const val SIGNIFICANT_DIGITS = 3
        const val CACHED_PROMPTS = 40
        val NOW = Instant.fromEpochSeconds(1_000)
        val POOL = PoolName("models")
        val PROPERTIES =
            EngineProperties(slots = 16, cacheTokens = 440_000, tokenBytes = 327_680, linkBitsPerMillisecond = 1.5e9)
        val ROUTE =
            Route(
                name = RouteName("route"),
                host = "caller.example",
                prefix = "/",
                kind = RequestKind.EventStream(resumable = true),
                timeout = 8.seconds,
                target = 1.seconds,
                urgency = 1,
                destinations = persistentListOf(),
                maximumAttempts = 2,
                targetEventGap = null,
            )
    }
}
