package org.acaciaflow.state.bytes

import kotlinx.io.bytestring.ByteString
import java.util.zip.CRC32
import java.util.zip.CRC32C

/**
 * A 64-bit hash of texts and bytes; equal in every process, and no protection against forgery.
 *
 * Texts go through FNV-1a. Bytes go through two checksums that the virtual machine computes in native code from its
 * start on, since bodies are long and a process that has just started has compiled nothing.
 */
fun fingerprintOf(
    text: String,
    bytes: ByteString = ByteString(),
): Long {
    var hash = FNV_OFFSET
    for (character in text) hash = (hash xor character.code.toLong()) * FNV_PRIME
    if (bytes.size == 0) return hash
    return (hash xor checksumsOf(bytes.toByteArray())) * FNV_PRIME
}

private fun checksumsOf(content: ByteArray): Long {
    val upper = CRC32().apply { update(content) }.value
    val lower = CRC32C().apply { update(content) }.value
    return (upper shl Int.SIZE_BITS) or lower
}

private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
