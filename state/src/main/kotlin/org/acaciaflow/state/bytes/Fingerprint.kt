package org.acaciaflow.state.bytes

import kotlinx.io.bytestring.ByteString

/** A 64-bit FNV-1a hash of texts and bytes; equal in every process, and no protection against forgery. */
fun fingerprintOf(
    text: String,
    bytes: ByteString = ByteString(),
): Long {
    var hash = FNV_OFFSET
    for (character in text) hash = (hash xor character.code.toLong()) * FNV_PRIME
    for (index in 0 until bytes.size) hash = (hash xor (bytes[index].toLong() and BYTE_MASK)) * FNV_PRIME
    return hash
}

private const val FNV_OFFSET = -3750763034362895579L
private const val FNV_PRIME = 1099511628211L
private const val BYTE_MASK = 0xFFL
