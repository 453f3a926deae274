package org.acaciaflow.state.bytes

import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.buildByteString

/** Concatenates [parts] into one byte string. */
fun concatenate(parts: List<ByteString>): ByteString =
    when (parts.size) {
        0 -> ByteString()
        1 -> parts.single()
        else -> buildByteString(parts.sumOf { it.size }) { parts.forEach { append(it.toByteArray()) } }
    }
