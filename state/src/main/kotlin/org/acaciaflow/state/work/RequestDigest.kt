package org.acaciaflow.state.work

import java.security.MessageDigest

/** SHA-256 over method, target and body of a call, in hexadecimal. */
@JvmInline
value class RequestDigest(
    val hexadecimal: String,
)

/** Digests a call; the parts are separated by a zero byte, which neither method nor target can hold. */
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
