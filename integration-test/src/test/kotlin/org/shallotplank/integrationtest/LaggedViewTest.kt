package org.shallotplank.integrationtest

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Nested

class LaggedViewTest {
    private val clock = TestTimeSource()
    private val view = LaggedView("old", lag = 2.seconds, timeSource = clock)

    @Nested
    inner class Updates {
        @Test
        fun `are not visible until the lag has passed`() {
            clock += 5.seconds
            view.update("new")
            clock += 1.seconds
            assertEquals("old", view.read())
            clock += 1.seconds
            assertEquals("new", view.read())
        }

        @Test
        fun `are visible at once without lag`() {
            view.lag = 0.seconds
            view.update("new")
            assertEquals("new", view.read())
        }
    }
}
