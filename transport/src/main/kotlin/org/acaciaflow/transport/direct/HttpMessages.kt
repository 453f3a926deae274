package org.acaciaflow.transport.direct

import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlinx.collections.immutable.toPersistentList
import org.acaciaflow.protocol.http.AnswerStatus
import org.acaciaflow.state.work.AnswerHead
import org.acaciaflow.state.work.HeaderField
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Returns true if [message] is no part of an answer, or one that could not be decoded. */
internal fun isMalformed(message: Any): Boolean = message !is HttpObject || message.decoderResult().isFailure

/** Returns true if [message], which was decoded where an answer may begin, is none. */
internal fun isNoAnswer(message: Any): Boolean =
    isMalformed(message) ||
        (message is HttpResponse && message.protocolVersion().protocolName() != HttpVersion.HTTP_1_1.protocolName())

/** Returns true if the answer itself is still to come. */
internal fun isInterim(response: HttpResponse): Boolean =
    AnswerStatus.of(response.status().code()) == AnswerStatus.INTERIM

/** Returns true if the answer to a request with [method] says that its connection ends with it. */
internal fun announcesClose(
    response: HttpResponse,
    method: String,
): Boolean {
    val isBodiless = method == HttpMethod.HEAD.name() || response.status() == HttpResponseStatus.NO_CONTENT
    return !HttpUtil.isKeepAlive(response) || (!isBodiless && !hasKnownEnd(response))
}

/** Returns true if the head of the answer tells where its body ends; otherwise it ends with its connection. */
internal fun hasKnownEnd(response: HttpResponse): Boolean =
    HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)

internal fun headOf(response: HttpResponse): AnswerHead =
    AnswerHead(
        response.status().code(),
        response.headers().map { HeaderField(it.key, it.value) }.toPersistentList(),
    )

/** Runs [action] on the event loop of this context after [duration]. */
internal fun ChannelHandlerContext.after(
    duration: Duration,
    action: () -> Unit,
) {
    executor().schedule(action, duration.inWholeMicroseconds, TimeUnit.MICROSECONDS)
}
