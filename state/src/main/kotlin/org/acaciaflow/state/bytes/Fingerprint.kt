package org.acaciaflow.state.bytes

import kotlinx.io.bytestring.ByteString
import java.util.zip.CRC32
import java.util.zip.CRC32C

/**
 * Computes a 64-bit non-cryptographic hash of [text] and [bytes], which is the same in every process.
 *
 * The text is hashed with FNV-1a. The bytes are hashed with CRC32 and CRC32C, which the JVM computes in native code
 * from startup on: bodies are long, and a process that has just started has no JIT-compiled code yet.
 */
fun fingerprintOf(
    text: String,
    bytes: ByteString = ByteString(),
): Long {
    var hash = FNV_OFFSET
    for (character in text) hash = (hash xor character.code.toLong()) * FNV_PRIME
    if (bytes.size == 0) return hash
    val content = bytes.toByteArray()
    val upper = CRC32().apply { update(content) }.value
    val lower = CRC32C().apply { update(content) }.value
    return withChecksums(hash, upper, lower)
}

/** Adds the checksums of bytes, [upper] by CRC32 and [lower] by CRC32C, to the [hash] of a text. */
internal fun withChecksums(
    hash: Long,
    upper: Long,
    lower: Long,
): Long = (hash xor ((upper shl Int.SIZE_BITS) or lower)) * FNV_PRIME

private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
