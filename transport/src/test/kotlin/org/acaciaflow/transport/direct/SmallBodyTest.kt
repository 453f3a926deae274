package org.acaciaflow.transport.direct

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

class SmallBodyTest : AnnotationSpec() {
    /** Guards against an exception in the filter for each answer whose length can't be read. */
    @Test
    fun `a length that is no number is taken for none`() {
        for (length in listOf("abc", "", "2, 3", "99999999999999999999")) {
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length)

            SmallBody(response).isLong shouldBe false
        }
    }
}
