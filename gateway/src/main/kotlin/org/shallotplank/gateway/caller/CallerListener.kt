package org.shallotplank.gateway.caller

import io.netty.handler.codec.http.HttpRequest
import org.shallotplank.core.gateway.CallerLimits
import org.shallotplank.gateway.budget.ShedCause

/** Receives the events of a [CallerConnection]. */
internal interface CallerListener {
    /** The current limits. */
    val limits: CallerLimits

    /** Whether connections are to be closed after their current answer. */
    val isStopping: Boolean

    /** Whether [request] is refused whatever its body is. */
    fun isRefusedBeforeBody(request: HttpRequest): Boolean

    /** Called when [connection] is closed or its request refused to bound what callers hold. */
    fun onShed(connection: CallerConnection, cause: ShedCause)

    /** Called when a complete request was read; the listener answers it on [connection]. */
    fun onRequest(connection: CallerConnection, message: CallerMessage)

    /** Called when the connection rejects an invalid, large or slow request with [status]. */
    fun onInvalid(connection: CallerConnection, status: Int, detail: String)

    /** Called when the connection is closed because of an error in this process. */
    fun onFailure(connection: CallerConnection, cause: Throwable)

    /** Called on close; [isAnswerOpen] is true if a request was unanswered. */
    fun onClosed(connection: CallerConnection, isAnswerOpen: Boolean)

    /** Called when the write buffer becomes full, and when it has space again. */
    fun onWritable(connection: CallerConnection, isWritable: Boolean)
}
