package org.acaciaflow.protocol.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/*
 * Messages of the etcd v3 JSON API, as served by the etcd gRPC gateway: keys and values are in Base64, 64-bit integers
 * are strings.
 */

@Serializable
data class RangeRequest(
    val key: String,
    @SerialName("range_end") val rangeEnd: String? = null,
    val limit: String? = null,
)

/** The answer to a [RangeRequest]. Only answers to transactions have [responses]. */
@Serializable
data class RangeResponse(
    val header: ResponseHeader = ResponseHeader(),
    val kvs: List<KeyValue> = emptyList(),
    val more: Boolean = false,
    val responses: List<JsonElement> = emptyList(),
)

/** A [RangeResponse] whose pairs are decoded one by one, since any of them may be malformed. */
@Serializable
data class ReceivedRange(
    val kvs: List<JsonElement> = emptyList(),
)

@Serializable
data class ResponseHeader(
    val revision: String = "0",
)

@Serializable
data class KeyValue(
    val key: String,
    val value: String = "",
    @SerialName("mod_revision") val modRevision: String = "0",
    val lease: String = "0",
)

@Serializable
data class TransactionRequest(
    val compare: List<Compare>,
    val success: List<RequestOperation>,
    val failure: List<RequestOperation>,
)

@Serializable
data class Compare(
    val key: String,
    val target: String,
    val result: String,
    @SerialName("mod_revision") val modRevision: String,
)

@Serializable
data class RequestOperation(
    @SerialName("request_put") val put: PutRequest? = null,
    @SerialName("request_range") val range: RangeRequest? = null,
)

@Serializable
data class PutRequest(
    val key: String,
    val value: String,
    val lease: String? = null,
)

@Serializable
data class TransactionResponse(
    val header: ResponseHeader = ResponseHeader(),
    val succeeded: Boolean = false,
    val responses: List<ResponseOperation> = emptyList(),
)

@Serializable
data class ResponseOperation(
    @SerialName("response_range") val range: RangeResponse? = null,
)

@Serializable
data class LeaseGrantRequest(
    @SerialName("TTL") val timeToLive: String,
)

@Serializable
data class LeaseGrantResponse(
    @SerialName("ID") val identity: String,
    @SerialName("TTL") val timeToLive: String = "0",
)

@Serializable
data class LeaseKeepAliveRequest(
    @SerialName("ID") val identity: String,
)

@Serializable
data class LeaseKeepAliveResponse(
    val result: LeaseKeepAliveResult,
)

@Serializable
data class LeaseKeepAliveResult(
    @SerialName("ID") val identity: String,
    @SerialName("TTL") val timeToLive: String = "0",
)

@Serializable
data class WatchRequest(
    @SerialName("create_request") val create: WatchCreate,
)

@Serializable
data class WatchCreate(
    val key: String,
    @SerialName("range_end") val rangeEnd: String? = null,
)

@Serializable
data class WatchResponse(
    val result: WatchResult = WatchResult(),
)

@Serializable
data class WatchResult(
    val created: Boolean = false,
    val events: List<WatchEvent> = emptyList(),
)

/** A [WatchResponse] whose events are decoded one by one, since any of them may be malformed. */
@Serializable
data class ReceivedWatch(
    val result: ReceivedEvents = ReceivedEvents(),
)

/** The events of a [ReceivedWatch]. */
@Serializable
data class ReceivedEvents(
    val events: List<JsonElement> = emptyList(),
)

@Serializable
data class WatchEvent(
    val type: String = "PUT",
    val kv: KeyValue,
)
