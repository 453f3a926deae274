package org.acaciaflow.state.work

import java.security.MessageDigest

/** The SHA-256 digest of a call's method, target and body, in hexadecimal. */
@JvmInline
value class RequestDigest(
    val hexadecimal: String,
)

/** Computes the digest of a call. A zero byte, which occurs in neither method nor target, separates the parts. */
fun digestOf(
    method: String,
    target: String,
    body: ByteArray,
): RequestDigest {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update(method.encodeToByteArray())
    digest.update(SEPARATOR)
    digest.update(target.encodeToByteArray())
    digest.update(SEPARATOR)
    digest.update(body)
    return RequestDigest(digest.digest().toHexString())
}

private const val SEPARATOR: Byte = 0
