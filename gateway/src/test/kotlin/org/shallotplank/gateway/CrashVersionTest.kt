package org.shallotplank.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Clock
import kotlin.time.Instant
import kotlinx.coroutines.runBlocking
import org.shallotplank.core.Address
import org.shallotplank.gateway.peer.PeerReport
import org.shallotplank.gateway.peer.PeerTable
import org.shallotplank.gateway.peer.PeerTables
import org.shallotplank.gateway.peer.PeerView
import org.shallotplank.gateway.peer.TableCopy
import org.shallotplank.gateway.peer.TableSharing

/** Guards against crashes at entries of 4476e3c that others take for known. */
class CrashVersionTest {
    private val clock = object : Clock {
        override fun now(): Instant = Instant.fromEpochSeconds(100)
    }
    private val tables = PeerTables(
        listOf(
            PeerTable(
                name = "prompt-crashes",
                version = { null },
                rows = { emptyList() },
                learn = {},
                sharing = TableSharing.DIGESTED
            )
        ),
        clock
    )

    private fun view(entry: Int, version: Long) = PeerView(Address("10.0.0.$entry", 1)).apply {
        report = PeerReport(
            instance = "e$entry",
            incarnation = 1,
            publicAddress = "10.0.0.$entry:2",
            zone = "a",
            isReady = true,
            isStopping = false,
            tableVersions = mapOf("prompt-crashes" to version),
            inFlight = emptyList(),
            crashes = emptyList()
        )
    }

    private fun fetches(version: Long): Int {
        var fetches = 0
        for (entry in 1..3) {
            runBlocking {
                tables.follow(view(entry, version)) {
                    fetches++
                    TableCopy(version, emptyList())
                }
            }
        }
        return fetches
    }

    /** Counters of different entries are equal although their crashes differ. */
    @Test
    fun `versions that count are fetched from each entry`() = assertEquals(3, fetches(1))

    @Test
    fun `versions that are digests are fetched once`() = assertEquals(1, fetches((1L shl 62) + 5))
}
