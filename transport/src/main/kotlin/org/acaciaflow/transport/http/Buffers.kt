package org.acaciaflow.transport.http

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.io.bytestring.ByteString
import org.acaciaflow.state.work.HeaderField

internal fun Buffer.toByteString(): ByteString = ByteString(bytes)

internal fun ByteString.toBuffer(): Buffer = Buffer.buffer(toByteArray())

internal fun MultiMap.toFields(): PersistentList<HeaderField> =
    entries().map { HeaderField(it.key, it.value) }.toPersistentList()
