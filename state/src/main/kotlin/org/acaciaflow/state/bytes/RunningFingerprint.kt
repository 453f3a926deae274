package org.acaciaflow.state.bytes

import java.nio.ByteBuffer
import java.util.zip.CRC32
import java.util.zip.CRC32C

/**
 * Computes the fingerprint of bytes that arrive in parts, without keeping them.
 *
 * [value] is what [fingerprintOf] returns for an empty text and all parts together. For use by one thread.
 */
class RunningFingerprint {
    private val upper = CRC32()
    private val lower = CRC32C()

    /** The number of bytes added. */
    var size = 0
        private set

    /** Adds the remaining bytes of [part], whose position stays. */
    fun add(part: ByteBuffer) {
        size += part.remaining()
        upper.update(part.duplicate())
        lower.update(part.duplicate())
    }

    /** Returns the fingerprint of the bytes added so far. */
    fun value(): Long = if (size == 0) fingerprintOf("") else withChecksums(fingerprintOf(""), upper.value, lower.value)
}
