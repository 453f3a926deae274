package org.acaciaflow.coordination.peer

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.acaciaflow.state.identity.DataCentre
import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.peer.Peer
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ConfigurationFetchPolicyTest : AnnotationSpec() {
    private val now = Instant.fromEpochSeconds(1_000)
    private val farAhead = peerAt("10.0.0.1", version = 1_000)
    private val newer = peerAt("10.0.0.2", version = 9)
    private val peers = listOf(farAhead, newer)

    /** Guards against a peer that reports a version far ahead and keeps all others from being asked. */
    @Test
    fun `a peer that has failed is asked after all others`() {
        val first = ConfigurationFetchPolicy.nextPeer(ConfigurationFetches.NONE, peers, ownVersion = 5, now)
        val failed = ConfigurationFetchPolicy.failed(ConfigurationFetches.NONE, farAhead.address, now)

        val second = ConfigurationFetchPolicy.nextPeer(failed, peers, ownVersion = 5, now)
        val later = ConfigurationFetchPolicy.nextPeer(failed, peers, ownVersion = 5, now + 60.seconds)

        listOf(first, second, later) shouldBe listOf(farAhead, newer, newer)
    }

    /** Guards against a gateway that asks a peer without a pause, and against one that never asks it again. */
    @Test
    fun `a peer that fails again and again is asked with pauses of one to eight seconds`() {
        val pauses = mutableListOf<Long>()
        var fetches = ConfigurationFetches.NONE
        var at = now
        repeat(6) {
            fetches = ConfigurationFetchPolicy.failed(fetches, farAhead.address, at)
            val failedAt = at
            while (ConfigurationFetchPolicy.nextPeer(fetches, listOf(farAhead), ownVersion = 5, at) == null) {
                at += 100.milliseconds
            }
            pauses += (at - failedAt).inWholeSeconds
        }

        pauses shouldBe listOf(1, 2, 4, 8, 8, 8)
    }

    /** Guards against fetches of versions that the gateway already has. */
    @Test
    fun `peers without a newer version are not asked`() {
        ConfigurationFetchPolicy.nextPeer(ConfigurationFetches.NONE, peers, ownVersion = 1_000, now) shouldBe null
    }

    /** Guards against a sound peer that is still set back for failures of its former life. */
    @Test
    fun `a peer that was silent or has delivered starts without failures`() {
        val failed = ConfigurationFetchPolicy.failed(ConfigurationFetches.NONE, farAhead.address, now)

        ConfigurationFetchPolicy.retained(failed, setOf(newer.address)) shouldBe ConfigurationFetches.NONE
        ConfigurationFetchPolicy.retained(failed, setOf(farAhead.address)) shouldBe failed
        ConfigurationFetchPolicy.succeeded(failed, farAhead.address) shouldBe ConfigurationFetches.NONE
    }

    private fun peerAt(
        ip: String,
        version: Long,
    ) = Peer(
        HostAddress(ip, port = 7000),
        startedAtMilliseconds = 1,
        lastSequence = 1,
        lastReportAt = now,
        configurationVersion = version,
        dataCentre = DataCentre("north"),
        capacity = 1.0,
        stopping = false,
    )
}
