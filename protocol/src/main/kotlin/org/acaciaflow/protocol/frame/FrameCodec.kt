package org.acaciaflow.protocol.frame

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.acaciaflow.coordination.event.FrameFault

/** Encodes and decodes frames as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
object FrameCodec {
    /** The maximum size of a frame that a process accepts. */
    const val MAXIMUM_FRAME_BYTES = 2 * 1024 * 1024

    private val cbor = Cbor { encodeDefaults = false }

    fun encode(envelope: Envelope): ByteArray = cbor.encodeToByteArray(Envelope.serializer(), envelope)

    /** Decodes a frame. Malformed input returns [DecodedFrame.Faulty]; it never throws. */
    fun decode(bytes: ByteArray): DecodedFrame =
        try {
            DecodedFrame.Frame(cbor.decodeFromByteArray(Envelope.serializer(), bytes))
        } catch (_: SerializationException) {
            DecodedFrame.Faulty(FrameFault.UNDECODABLE)
        } catch (_: IllegalArgumentException) {
            DecodedFrame.Faulty(FrameFault.UNDECODABLE)
        } catch (_: IndexOutOfBoundsException) {
            DecodedFrame.Faulty(FrameFault.UNDECODABLE)
        } catch (_: NegativeArraySizeException) {
            DecodedFrame.Faulty(FrameFault.UNDECODABLE)
        }
}

/** The result of decoding a frame. */
sealed interface DecodedFrame {
    data class Frame(
        val envelope: Envelope,
    ) : DecodedFrame

    data class Faulty(
        val fault: FrameFault,
    ) : DecodedFrame
}
