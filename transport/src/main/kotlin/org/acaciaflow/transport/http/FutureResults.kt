package org.acaciaflow.transport.http

import io.vertx.core.AsyncResult
import io.vertx.core.Future
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume

/**
 * Waits for the result of this future, whether it succeeds or fails.
 *
 * Failures of connections come as exceptions of many types, from Vert.x, Netty and the JDK.
 */
internal suspend fun <Value> Future<Value>.awaitResult(): AsyncResult<Value> =
    suspendCancellableCoroutine { continuation ->
        onComplete { result -> if (continuation.isActive) continuation.resume(result) }
    }
