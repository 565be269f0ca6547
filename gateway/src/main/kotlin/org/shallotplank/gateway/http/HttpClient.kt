package org.shallotplank.gateway.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import org.shallotplank.core.Address
import org.shallotplank.gateway.budget.MessageMemory

/** Why an [HttpCall] got no answer; the peer may still have processed it. */
public enum class CallFailure { NOT_CONNECTED, CONNECTION_LOST, TIMED_OUT }

/**
 * Client for small calls to one peer, one at a time on a persistent connection.
 *
 * A failed or cancelled call closes the connection, so that its late answer is never mistaken for
 * that of another call. An answer counts in [memory] until it is decoded, and a call whose answer
 * finds no room there fails. Use the client only on the event loop of [group].
 */
public class HttpClient(
    private val group: EventLoopGroup,
    private val address: Address,
    private val memory: MessageMemory? = null
) {
    private var channel: Channel? = null
    private var onReply: ((Either<CallFailure, HttpReply>) -> Unit)? = null

    /** Makes [call]; fails if the answer has not arrived after [timeout]. */
    public suspend fun call(call: HttpCall, timeout: Duration): Either<CallFailure, HttpReply> {
        var reply: Either<CallFailure, HttpReply>? = null
        try {
            reply = withTimeoutOrNull(timeout) { exchange(call) }
        } finally {
            if (reply == null || reply.isLeft()) close()
        }
        return reply ?: CallFailure.TIMED_OUT.left()
    }

    /** Closes the connection; the next call opens another. */
    public fun close() {
        onReply = null
        channel?.close()
        channel = null
    }

    private suspend fun exchange(call: HttpCall): Either<CallFailure, HttpReply> {
        val open = channel?.takeIf { it.isActive } ?: connect()
            ?: return CallFailure.NOT_CONNECTED.left()
        channel = open
        return suspendCancellableCoroutine { continuation ->
            onReply = { continuation.resume(it) }
            open.writeAndFlush(call.message(address.toString()))
                .addListener(ChannelFutureListener { if (!it.isSuccess) open.close() })
        }
    }

    private suspend fun connect(): Channel? = suspendCancellableCoroutine { continuation ->
        val future = Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                CONNECT_TIMEOUT.inWholeMilliseconds.toInt()
            )
            .handler(initializer())
            .connect(InetSocketAddress(address.host, address.port))
        future.addListener(
            ChannelFutureListener {
                val channel = it.channel().takeIf { _ -> it.isSuccess }
                if (continuation.isActive) continuation.resume(channel) else channel?.close()
            }
        )
    }

    private fun initializer() = object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(created: SocketChannel) {
            val counter = memory?.let(::MessageCounter)
            created.pipeline()
                .addLast(UnsolicitedBytesHandler { onReply != null })
                .addLast(answerCodec())
                // What came with the end of a reply has been decoded before the connection closes.
                .addLast(UnsolicitedBytesHandler { onReply != null })
                .addLast(EndOfInputHandler())
                .addLast(InvalidHeadHandler())
            counter?.let { created.pipeline().addLast(it) }
            created.pipeline()
                .addLast(HttpObjectAggregator(MAX_REPLY_BYTES))
                .addLast(ReplyHandler(counter))
        }
    }

    private inner class ReplyHandler(private val counter: MessageCounter?) :
        SimpleChannelInboundHandler<FullHttpResponse>() {
        override fun channelRead0(context: ChannelHandlerContext, message: FullHttpResponse) {
            freeWhenDecoded(context)
            if (context.channel() !== channel) return
            // Calls have no use for interim answers, which a peer could send without end.
            val isInterim = message.status().codeClass() == HttpStatusClass.INFORMATIONAL
            if (message.decoderResult().isFailure || isInterim || onReply == null) {
                context.close()
                return
            }
            val body = ByteBufUtil.getBytes(message.content())
            if (!HttpUtil.isKeepAlive(message)) {
                channel = null
                context.close()
            }
            val headers = message.headers().entries().map { it.key to it.value }
            finish(HttpReply(message.status().code(), body, headers = headers).right())
        }

        private fun freeWhenDecoded(context: ChannelHandlerContext) {
            val bytes = counter?.take()?.takeIf { it > 0 } ?: return
            context.channel().eventLoop().schedule(
                { counter.free(bytes) },
                DECODING_TIME.inWholeMilliseconds,
                TimeUnit.MILLISECONDS
            )
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            if (context.channel() !== channel) return
            channel = null
            finish(CallFailure.CONNECTION_LOST.left())
        }

        @Deprecated("Netty deprecates it in the base class")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }

        private fun finish(outcome: Either<CallFailure, HttpReply>) {
            val resume = onReply ?: return
            onReply = null
            resume(outcome)
        }
    }

    private companion object {
        /** An answer may hold a whole table, at most one megabyte of values in base64. */
        const val MAX_REPLY_BYTES = 4 * 1_048_576

        /**
         * Estimate of the time until an answer is decoded, which happens in the next turns of the
         * event loop and is not reported to the client.
         */
        val DECODING_TIME = 20.milliseconds

        /** Below 1 s, after which most systems retransmit a lost SYN. */
        val CONNECT_TIMEOUT = 700.milliseconds
    }
}
