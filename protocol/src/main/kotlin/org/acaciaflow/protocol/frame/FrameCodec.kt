package org.acaciaflow.protocol.frame

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.acaciaflow.coordination.event.FrameFault

/** Turns frames into CBOR and back. */
@OptIn(ExperimentalSerializationApi::class)
object FrameCodec {
    /** The longest frame that a process accepts. */
    const val MAXIMUM_FRAME_BYTES = 2 * 1024 * 1024

    private val cbor = Cbor { encodeDefaults = false }

    fun encode(envelope: Envelope): ByteArray = cbor.encodeToByteArray(Envelope.serializer(), envelope)

    /** Decodes a frame; malformed bytes give a typed fault and never an exception. */
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

/** Outcome of decoding a frame. */
sealed interface DecodedFrame {
    data class Frame(
        val envelope: Envelope,
    ) : DecodedFrame

    data class Faulty(
        val fault: FrameFault,
    ) : DecodedFrame
}
