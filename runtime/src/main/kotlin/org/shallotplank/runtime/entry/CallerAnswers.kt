package org.shallotplank.runtime.entry

import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.channels.Channel
import org.shallotplank.core.RequestId
import org.shallotplank.core.call.AnswerHead
import org.shallotplank.core.call.Payload
import org.shallotplank.core.call.Refusal
import org.shallotplank.core.entry.Rejection

/** A part of the answer to a caller. */
internal sealed interface AnswerPart {
    /** Whether no other part follows this one. */
    val isLast: Boolean get() = this !is Begin && this !is Continue

    data class Whole(val head: AnswerHead, val body: Payload) : AnswerPart

    data class Refused(val refusal: Refusal) : AnswerPart

    data class Rejected(val rejection: Rejection) : AnswerPart

    data class Begin(val head: AnswerHead) : AnswerPart

    data class Continue(val payload: Payload) : AnswerPart

    data object End : AnswerPart

    data class Cut(val refusal: Refusal) : AnswerPart
}

/** Passes the parts of each answer to the HTTP call that waits for them. */
internal class CallerAnswers(private val onOverflow: (RequestId) -> Unit) {
    private val answers = ConcurrentHashMap<RequestId, Channel<AnswerPart>>()

    /** Number of answers whose last part has not been queued yet. */
    val openCount: Int get() = answers.size

    /** Opens the channel for the answer to request [id]. */
    fun open(id: RequestId): Channel<AnswerPart> =
        Channel<AnswerPart>(PART_CAPACITY).also { answers[id] = it }

    /** Removes the answer to request [id]; later parts of it are dropped. */
    fun close(id: RequestId) {
        answers.remove(id)
    }

    /**
     * Queues [part] for the caller of request [id].
     *
     * When the buffer is full because the caller reads too slowly, the answer is closed without
     * a last part and [onOverflow] is called.
     */
    fun put(id: RequestId, part: AnswerPart) {
        val answer = answers[id] ?: return
        if (part.isLast) close(id)
        if (answer.trySend(part).isFailure) {
            close(id)
            answer.close()
            onOverflow(id)
        }
    }

    private companion object {
        const val PART_CAPACITY = 1024
    }
}
