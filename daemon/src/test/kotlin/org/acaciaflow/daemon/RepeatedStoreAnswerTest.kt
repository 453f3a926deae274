package org.acaciaflow.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe

/** Runs a gateway in a separate process before a store whose answers each arrive a second time, late. */
class RepeatedStoreAnswerTest : AnnotationSpec() {
    private lateinit var store: StoreServer
    private lateinit var proxy: RepeatingProxy
    private lateinit var servers: List<ServiceServer>
    private lateinit var gateway: GatewayProcess

    @BeforeEach
    fun startAll() {
        store = StoreServer()
        proxy = RepeatingProxy(store.port)
        servers = listOf(ServiceServer("i-first"), ServiceServer("i-second"))
        store.put("op/config", claimsConfiguration("idempotent"))
        servers.forEach { store.put("servers/${it.instance}", it.entry()) }
        gateway = GatewayProcess(proxy.port)
    }

    @AfterEach
    fun stopAll() {
        gateway.close()
        servers.forEach { it.close() }
        proxy.close()
        store.close()
    }

    /** Guards against an answer to another call that is taken for a page of keys, which then lacks all of them. */
    @Test
    fun `all keys are read whole although each answer arrives a second time`() {
        gateway.awaitReady()
        store.forgets = true // so that all keys are read again and again

        val statuses =
            List(CALLS) {
                Thread.sleep(PAUSE_MILLISECONDS)
                gateway.call("/claims/$it", "id-$it")
            }

        val faults = gateway.log().lines().count { SECTION_UNREADABLE in it || BACKEND_MISSING in it }
        println("statuses ${statuses.groupingBy { it }.eachCount()}; $faults faulty reads; ${traffic()}")
        faults shouldBe 0
        statuses shouldBe List(CALLS) { OK }
    }

    /** Guards against a late answer to a watch that holds back the changes after it. */
    @Test
    fun `a server that leaves gets no more requests although each answer to a watch arrives a second time`() {
        gateway.awaitReady()
        val (leaving, staying) = servers
        Thread.sleep(CALM_MILLISECONDS)
        store.put("servers/${leaving.instance}", leaving.entry(state = "draining"))
        Thread.sleep(APPLY_MILLISECONDS)
        val reached = leaving.requests.get()

        val statuses = List(CALLS) { gateway.call("/claims/$it", "id-$it") }

        println("statuses ${statuses.groupingBy { it }.eachCount()}; ${traffic()}")
        statuses shouldBe List(CALLS) { OK }
        leaving.requests.get() - reached shouldBe 0
        staying.requests.get() shouldBe CALLS
    }

    private fun traffic(): String =
        "${proxy.calls.get()} calls to the store on ${proxy.connections.get()} connections, " +
            "${proxy.copies.get()} late copies"

    private companion object {
        const val OK = 200
        const val BACKEND_MISSING = "AF1208"
        const val SECTION_UNREADABLE = "AF1508"
        const val CALLS = 20
        const val PAUSE_MILLISECONDS = 200L
        const val CALM_MILLISECONDS = 4_000L
        const val APPLY_MILLISECONDS = 2_100L // the bounds of the platform for changes and for drains are two seconds
    }
}
