package org.acaciaflow.daemon

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

/**
 * Runs a gateway in a separate process before servers of which one says in its answers that it wants no requests.
 *
 * Each test guards against requests that reach such a server after its answer, or against a server that gets none again.
 */
class LeavingServerTest : AnnotationSpec() {
    private lateinit var store: StoreServer
    private lateinit var leaving: ServiceServer
    private lateinit var staying: ServiceServer
    private lateinit var gateway: GatewayProcess
    private var calls = 0

    @BeforeEach
    fun startAll() {
        store = StoreServer()
        leaving = ServiceServer("i-leaving")
        staying = ServiceServer("i-staying")
        store.put("op/config", CONFIGURATION)
        listOf(leaving, staying).forEach { store.put("servers/${it.instance}", it.entry()) }
        gateway = GatewayProcess(store.port)
        gateway.awaitReady()
    }

    @AfterEach
    fun stopAll() {
        gateway.close()
        listOf(leaving, staying).forEach { it.close() }
        store.close()
    }

    @Test
    fun `a server that says in an answer that it is leaving gets no more requests`() {
        leaving.headers = listOf(LEAVING)

        reachedAfterFirst() shouldBe 0

        gateway.log() shouldContain "AF1213 BackendLeaving(life=BackendLife(instance=i-leaving"
    }

    @Test
    fun `a server that says in a refusal that it is leaving gets no more requests`() {
        leaving.status = 503
        leaving.headers = listOf(LEAVING, NOT_EXECUTED)
        callUntilReached()
        leaving.headers = listOf(NOT_EXECUTED)
        staying.status = 503
        staying.headers = listOf(NOT_EXECUTED)

        reachedAfterFirst(expectedStatus = 503) shouldBe 0
    }

    @Test
    fun `a server that has said it is leaving gets no more requests when the store calls it ready`() {
        leaving.headers = listOf(LEAVING)
        callUntilReached()
        store.put("servers/i-leaving", leaving.entry().replace("\"sequence\":1", "\"sequence\":2"))
        Thread.sleep(APPLY_MILLISECONDS)

        reachedAfterFirst() shouldBe 0
    }

    @Test
    fun `a new lifetime at the address of a server that was leaving gets requests`() {
        leaving.headers = listOf(LEAVING)
        callUntilReached()
        leaving.headers = emptyList()
        store.put("servers/i-leaving", leaving.entry(startedAt = ServiceServer.STARTED_AT + 1))
        Thread.sleep(APPLY_MILLISECONDS)
        val before = leaving.requests.get()

        repeat(CALLS) { call() }

        (leaving.requests.get() > before) shouldBe true
    }

    @Test
    fun `a server that asks for time gets no requests until it is over`() {
        leaving.status = 503
        leaving.headers = listOf(NOT_EXECUTED, "Retry-After" to "3")
        callUntilReached()
        leaving.headers = listOf(NOT_EXECUTED)
        staying.status = 503
        staying.headers = listOf(NOT_EXECUTED)
        val before = leaving.requests.get()
        val end = System.nanoTime() + REFUSED_AT_ONCE_NANOSECONDS
        var refused = 0

        while (System.nanoTime() < end) {
            call() shouldBe 503
            refused += 1
        }

        println("reached the resting server: ${leaving.requests.get() - before} of $refused")
        leaving.requests.get() - before shouldBe 0
        leaving.status = 200
        leaving.headers = emptyList()
        Thread.sleep(REST_MILLISECONDS)
        call() shouldBe OK
        gateway.log() shouldContain "AF1215 BackendResting(life=BackendLife(instance=i-leaving"
        gateway.log() shouldContain "reason=backends-resting"
    }

    @Test
    fun `a server that says something unreadable of its leaving goes on getting requests`() {
        leaving.headers = listOf("Server-Leaving" to "0")
        callUntilReached()
        val before = leaving.requests.get()

        repeat(CALLS) { call() }

        (leaving.requests.get() > before) shouldBe true
        gateway.log().split("AF1214").size - 1 shouldBe 1
    }

    /** Returns how many requests reach the leaving server after the answer to the first one is in. */
    private fun reachedAfterFirst(expectedStatus: Int = OK): Int {
        callUntilReached()
        val before = leaving.requests.get()
        repeat(CALLS) { call() shouldBe expectedStatus }
        val reached = leaving.requests.get() - before
        println("reached the leaving server after its first answer: $reached of $CALLS")
        return reached
    }

    private fun callUntilReached() {
        while (leaving.requests.get() == 0) call()
    }

    private fun call(): Int {
        calls += 1
        return gateway.call("/claims/$calls", "id-$calls")
    }

    private companion object {
        const val OK = 200
        const val CALLS = 40
        const val APPLY_MILLISECONDS = 2_100L
        const val REFUSED_AT_ONCE_NANOSECONDS = 1_000_000_000L // later calls have time to wait for the server
        const val REST_MILLISECONDS = 3_800L // the time that the server asks for and the spread of returns
        val LEAVING = "Server-Leaving" to "1"
        val NOT_EXECUTED = "Not-Executed" to "1"
        const val CONFIGURATION =
            """{"version":1,"routes":[{"name":"claims","host":"127.0.0.1","prefix":"/claims/","kind":"idempotent",""" +
                """"timeout_ms":2000,"target_latency_ms":200,"priority":1,"service":"register","max_attempts":2,""" +
                """"sticky":false,"resumable":false}],"services":[{"name":"register","health_path":"/healthz",""" +
                """"max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,""" +
                """"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"""
    }
}
