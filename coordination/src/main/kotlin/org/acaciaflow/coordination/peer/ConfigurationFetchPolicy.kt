package org.acaciaflow.coordination.peer

import org.acaciaflow.state.identity.HostAddress
import org.acaciaflow.state.peer.Peer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Selects the peer to fetch a configuration from. A peer that fails is asked after all others, with backoff. */
object ConfigurationFetchPolicy {
    /**
     * Returns the peer to ask at [now] for a version above [ownVersion]; null if there is none.
     *
     * Peers with fewer failures come first, then those that report a higher version.
     */
    fun nextPeer(
        fetches: ConfigurationFetches,
        peers: Collection<Peer>,
        ownVersion: Long,
        now: Instant,
    ): Peer? =
        peers
            .filter { it.configurationVersion > ownVersion && isDue(fetches.failed[it.address], now) }
            .sortedByDescending { it.configurationVersion }
            .minByOrNull { fetches.failed[it.address]?.failures ?: 0 }

    /** Records at [now] that [peer] did not deliver a newer configuration. */
    fun failed(
        fetches: ConfigurationFetches,
        peer: HostAddress,
        now: Instant,
    ): ConfigurationFetches {
        val failures = (fetches.failed[peer]?.failures ?: 0) + 1
        val backoff = minOf(MAXIMUM_BACKOFF, INITIAL_BACKOFF * (1 shl minOf(failures - 1, MAXIMUM_DOUBLINGS)))
        return fetches.copy(failed = fetches.failed.put(peer, FailedFetch(failures, now + backoff)))
    }

    /** Records that [peer] delivered a newer configuration. */
    fun succeeded(
        fetches: ConfigurationFetches,
        peer: HostAddress,
    ): ConfigurationFetches = fetches.copy(failed = fetches.failed.remove(peer))

    /** Forgets the failures of all peers that are not in [live]. */
    fun retained(
        fetches: ConfigurationFetches,
        live: Set<HostAddress>,
    ): ConfigurationFetches =
        fetches.copy(failed = (fetches.failed.keys - live).fold(fetches.failed) { rest, peer -> rest.remove(peer) })

    private fun isDue(
        failed: FailedFetch?,
        now: Instant,
    ): Boolean = failed == null || now >= failed.retryAt

    private val INITIAL_BACKOFF: Duration = 1.seconds
    private val MAXIMUM_BACKOFF: Duration = 8.seconds
    private const val MAXIMUM_DOUBLINGS = 3
}
