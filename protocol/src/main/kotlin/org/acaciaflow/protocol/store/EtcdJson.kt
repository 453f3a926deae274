package org.acaciaflow.protocol.store

import kotlinx.io.bytestring.ByteString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.acaciaflow.coordination.port.StoreKey
import org.acaciaflow.coordination.port.StoredValue
import kotlin.io.encoding.Base64

/** Paths and encodings of the JSON API of the etcd gateway. */
object EtcdJson {
    const val RANGE_PATH = "/v3/kv/range"
    const val TRANSACTION_PATH = "/v3/kv/txn"
    const val LEASE_GRANT_PATH = "/v3/lease/grant"
    const val LEASE_KEEP_ALIVE_PATH = "/v3/lease/keepalive"
    const val WATCH_PATH = "/v3/watch"

    val json =
        Json {
            ignoreUnknownKeys = true
            explicitNulls = false
        }

    fun encodeKey(key: StoreKey): String = Base64.encode(key.path.encodeToByteArray())

    fun encodeValue(value: ByteString): String = Base64.encode(value.toByteArray())

    /** The exclusive end of the range of keys that start with [prefix]: the prefix with its last byte incremented. */
    fun encodeRangeEnd(prefix: StoreKey): String {
        val bytes = prefix.path.encodeToByteArray()
        bytes[bytes.lastIndex] = (bytes.last() + 1).toByte()
        return Base64.encode(bytes)
    }

    fun decodeValue(pair: KeyValue): StoredValue =
        StoredValue(
            key = StoreKey(Base64.decode(pair.key).decodeToString()),
            value = ByteString(Base64.decode(pair.value)),
            revision = pair.modRevision.toLong(),
        )

    /** Decodes one pair of a [ReceivedRange]; null if it is malformed. */
    fun decodePair(pair: JsonElement): StoredValue? =
        decodeOrNull { decodeValue(json.decodeFromJsonElement(KeyValue.serializer(), pair)) }

    /** Decodes one event of a [ReceivedWatch]; null if it is malformed. */
    fun decodeEvent(event: JsonElement): StoredValue? =
        decodeOrNull { decodeValue(json.decodeFromJsonElement(WatchEvent.serializer(), event).kv) }

    /** Returns null if [decode] fails on malformed JSON, numbers or Base64 text. */
    private fun decodeOrNull(decode: () -> StoredValue): StoredValue? =
        try {
            decode()
        } catch (_: IllegalArgumentException) {
            null
        }

    /** A request that reads one key. */
    fun readRequest(key: StoreKey): RangeRequest = RangeRequest(encodeKey(key))

    /** A request that reads at most [limit] of the keys below [prefix]. */
    fun listRequest(
        prefix: StoreKey,
        limit: Int,
    ): RangeRequest = RangeRequest(encodeKey(prefix), encodeRangeEnd(prefix), limit.toString())

    /** Returns true if [response] can answer a read of [key]; that the key is absent names no key. */
    fun answersRead(
        key: StoreKey,
        response: RangeResponse,
    ): Boolean = response.responses.isEmpty() && response.kvs.all { it.key == encodeKey(key) }

    /**
     * A compare-and-swap: writes [key] if it is at revision [expected], and reads it in any case.
     *
     * What was read tells the answer from a late copy of an earlier one.
     */
    fun swapRequest(
        key: StoreKey,
        expected: Long,
        value: ByteString,
        lease: Long?,
    ): TransactionRequest {
        val encodedKey = encodeKey(key)
        val compare = Compare(encodedKey, target = "MOD", result = "EQUAL", modRevision = expected.toString())
        val put = PutRequest(encodedKey, encodeValue(value), lease?.toString())
        return TransactionRequest(
            compare = listOf(compare),
            success = listOf(RequestOperation(put = put), RequestOperation(range = RangeRequest(encodedKey))),
            failure = listOf(RequestOperation(range = RangeRequest(encodedKey))),
        )
    }

    /** Returns true if [response] can answer the swap of [key] at [expected] to [value]. */
    fun answersSwap(
        key: StoreKey,
        expected: Long,
        value: ByteString,
        response: TransactionResponse,
    ): Boolean {
        val found = response.responses.firstNotNullOfOrNull { it.range }?.kvs ?: return false
        if (found.any { it.key != encodeKey(key) }) return false
        val isAtExpected = (found.firstOrNull()?.modRevision ?: ABSENT_REVISION) == expected.toString()
        return !isAtExpected && (!response.succeeded || found.firstOrNull()?.value == encodeValue(value))
    }

    private const val ABSENT_REVISION = "0"

    /** A request that watches the keys below [prefix]. */
    fun watchRequest(prefix: StoreKey): WatchRequest =
        WatchRequest(WatchCreate(encodeKey(prefix), encodeRangeEnd(prefix)))
}
