package org.acaciaflow.daemon.soak

import kotlinx.collections.immutable.ImmutableList
import org.acaciaflow.daemon.StoreServer
import org.acaciaflow.daemon.gatewayPlaces
import java.net.BindException
import java.util.concurrent.Executors
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** How large a soak is and what its servers do. */
internal data class SoakShape(
    val seed: Long,
    val mix: SoakMix,
    val seconds: Int,
    val gateways: Int,
    val callers: Int,
    val plainServers: Int = mix.plainServers,
    val enginesOfEachStage: Int = 2,
) {
    /** The command that plays this again. */
    val replay: String
        get() = "./soak.sh --seeds $seed --seconds $seconds --mix ${mix.text} --gateways $gateways --callers $callers"
}

/** What came of a soak; [logs] are those of the gateways by their names. */
internal data class SoakResult(
    val shape: SoakShape,
    val entries: AccountEntries,
    val calls: ImmutableList<CallRecord>,
    val breaches: ImmutableList<Breach>,
    val logs: Map<String, String>,
)

/** Runs real gateways between callers and servers of this process, with the disturbances that follow from the seed. */
internal fun playSoak(shape: SoakShape): SoakResult = SoakPlay(shape).use { it.play() }

private class SoakPlay(
    private val shape: SoakShape,
) : AutoCloseable {
    private val run = soakRun(shape.seed)
    private val servers = plainServers() + engines(EngineStage.PREFILL) + engines(EngineStage.DECODE)
    private val store = StoreServer(tellsEra = true)
    private val returns = Any()
    private var version = 1
    private val mayRestart = Semaphore(shape.gateways - 1)
    private val threads = Executors.newCachedThreadPool { Thread(it, "soak-disturbance").apply { isDaemon = true } }
    private val gateways: List<SoakGateway>

    init {
        configure(version)
        servers.forEach { register(it) }
        gateways = gatewayPlaces(shape.gateways, RETRY_SLACK).map { SoakGateway(store.port, it) }
    }

    fun play(): SoakResult {
        gateways.forEach { it.awaitReady() }
        val callers = SoakCallers(gateways.map { it.address }, shape.callers, shape.seed, run.clock)
        callers.start()
        disturb()
        val calls = callers.finish()
        Thread.sleep(SETTLING_MILLISECONDS)
        val entries = run.account.snapshot()
        return SoakResult(shape, entries, calls, judge(entries, calls), gateways.associate { it.name to it.log() })
    }

    override fun close() {
        gateways.forEach { it.close() }
        servers.forEach { it.close() }
        store.close()
        threads.shutdownNow()
    }

    private fun plainServers(): List<SoakServer> =
        List(shape.plainServers) {
            PlainSoakServer("i-plain-$it", PLAIN_SERVICE, run, shape.mix.faultsOfPlainServer(it))
        }

    private fun engines(stage: EngineStage): List<SoakServer> =
        List(shape.enginesOfEachStage) {
            EngineSoakServer("i-${stage.text}-$it", ENGINE_SERVICE, stage, run, shape.mix.engineFaults)
        }

    /** Writes the entry of [server]; the store's last one is always that of its present life. */
    @Synchronized
    private fun register(server: SoakServer) = store.put("servers/${server.instance}", server.entry())

    @Synchronized
    private fun configure(newVersion: Int) {
        version = newVersion
        store.put(CONFIGURATION_KEY, soakConfiguration(newVersion))
    }

    @Synchronized
    private fun configureNext() = configure(version + 1)

    /** Begins each disturbance at its time, and waits until all of them are over. */
    private fun disturb() {
        val start = run.clock()
        val length = TimeUnit.SECONDS.toMillis(shape.seconds.toLong())
        val disturbances = drawDisturbances(Random(shape.seed), length, gateways.size, servers.size)
        val begun =
            disturbances.map { timed ->
                Thread.sleep((start + timed.atMilliseconds - run.clock()).coerceAtLeast(0))
                threads.submit { carryOut(timed.disturbance) }
            }
        Thread.sleep((start + length - run.clock()).coerceAtLeast(0))
        begun.forEach { it.get() }
    }

    private fun carryOut(disturbance: Disturbance) =
        when (disturbance) {
            is Disturbance.PauseGateway -> gateways[disturbance.gateway].pause(disturbance.milliseconds)
            is Disturbance.StopGateway -> restart(gateways[disturbance.gateway], "TERM")
            is Disturbance.KillGateway -> restart(gateways[disturbance.gateway], "KILL")
            is Disturbance.RestartServer -> restart(servers[disturbance.server], disturbance.milliseconds)
            is Disturbance.DrainServer -> drain(servers[disturbance.server], disturbance.milliseconds)
            Disturbance.Reconfigure -> configureNext()
            is Disturbance.RefuseAtStore -> refuseAtStore(disturbance.milliseconds)
            is Disturbance.ReturnStore -> returnStore(disturbance)
        }

    /** Restarts [gateway], unless it is the last one that serves. */
    private fun restart(
        gateway: SoakGateway,
        signal: String,
    ) {
        if (!mayRestart.tryAcquire()) return
        try {
            gateway.restart(signal)
            gateway.awaitReady()
        } finally {
            mayRestart.release()
        }
    }

    private fun restart(
        server: SoakServer,
        milliseconds: Long,
    ) = synchronized(server) {
        server.stop()
        Thread.sleep(milliseconds)
        startAgain(server)
    }

    private fun drain(
        server: SoakServer,
        milliseconds: Long,
    ) = synchronized(server) {
        server.drain()
        register(server)
        Thread.sleep(milliseconds)
        store.remove("servers/${server.instance}")
        server.stop()
        startAgain(server)
    }

    /** Starts [server] at its address, which another process of the machine may use for a connection meanwhile. */
    private fun startAgain(server: SoakServer) {
        val deadline = run.clock() + REBIND_MILLISECONDS
        while (true) {
            try {
                server.restart(born = System.currentTimeMillis())
                return register(server)
            } catch (fault: BindException) {
                if (run.clock() >
                    deadline
                ) {
                    return println("${server.instance} stays down: ${server.address}: ${fault.message}")
                }
                Thread.sleep(REBIND_PAUSE_MILLISECONDS)
            }
        }
    }

    private fun refuseAtStore(milliseconds: Long) {
        store.refusesReads = true
        store.refusesWatches = true
        Thread.sleep(milliseconds)
        store.refusesReads = false
        store.refusesWatches = false
    }

    /** Returns to a copy, one such disturbance after the other; the writers write everything again. */
    private fun returnStore(disturbance: Disturbance.ReturnStore) =
        synchronized(returns) {
            val copy = store.copy()
            Thread.sleep(disturbance.ageMilliseconds)
            println("the store returns from revision ${store.copy().revision} to ${copy.revision}: $disturbance")
            store.cutOffDuring {
                store.returnTo(copy)
                val writes: List<() -> Unit> = servers.map { { register(it) } } + { configureAgain() }
                writes.shuffled(Random(disturbance.seed)).forEach { it() }
                Thread.sleep(disturbance.cutMilliseconds)
            }
        }

    @Synchronized
    private fun configureAgain() = configure(version)

    private companion object {
        const val CONFIGURATION_KEY = "op/config"
        const val RETRY_SLACK = 400
        const val REBIND_MILLISECONDS = 5_000L
        const val REBIND_PAUSE_MILLISECONDS = 200L
        const val SETTLING_MILLISECONDS = 700L
    }
}
