import java.io.BufferedInputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** An entry that isn't the holder of the group's lease freezes when the group begins to change its map. */
final class FrozenEntry extends Case {
    /** Below the longest freeze of the site's troubles, 4 s, by more than a signal takes. */
    private static final int FREEZE_MILLIS = 3_900;
    private final AtomicInteger draftsSent = new AtomicInteger();
    private final AtomicInteger draftsServed = new AtomicInteger();
    private final AtomicInteger lookupsSent = new AtomicInteger();
    private final AtomicInteger lookupsServed = new AtomicInteger();

    public static void main(String[] arguments) {
        new FrozenEntry().main();
    }

    @Override
    boolean play() throws Exception {
        Store store = keep(new Store("127.0.0.1", record));
        store.put("op", "config", configuration(7, 4000, Ranks.route() + ",", Ranks.service() + ","));
        Ranks ranks = keep(new Ranks(record, true));
        int relayPort = Node.Ports.free("127.0.2.1");
        for (Ranks.Rank rank : ranks.ranks) {
            store.put("servers", rank.id, ranks.row(rank, "khomas-a"));
            keep(Node.relay(root, temporary, "side-" + rank.number, rank.host + ":" + relayPort, rank.address())).start();
        }
        Http.Server lookups = keep(new Http.Server("127.0.0.1", 0, this::serve));
        store.put("servers", "i-server1", server(lookups.address(), "khomas-a"));
        List<Node.Ports> entries = new ArrayList<>();
        for (int number = 1; number <= 2; number++) entries.add(new Node.Ports("127.0.1." + number));
        String seeds = "[\"" + entries.get(0).peers + "\",\"" + entries.get(1).peers + "\"]";
        List<Node> gateways = new ArrayList<>();
        for (int number = 1; number <= 2; number++) {
            gateways.add(keep(Node.gateway(root, temporary, "edge-khomas-a-" + number, entries.get(number - 1), "khomas-a",
                store.address(), seeds, relayPort, true)));
            gateways.get(number - 1).start();
        }
        for (Node.Ports entry : entries) require(Node.awaitReady(entry.readiness, 20), "an entry isn't ready");
        Thread.sleep(4000);
        int holder = store.get("entries", "group/g1").contains("\"holder\":\"edge-khomas-a-1\"") ? 0 : 1;
        record.write("edge-khomas-a-" + (holder + 1) + " holds the lease; all clients are connected to it");
        String entry = entries.get(holder).callers;
        List<Thread> clients = new ArrayList<>();
        // Little traffic at first: some drafts every six seconds.
        for (int burst = 0; burst < 5; burst++) {
            ranks.shiftDemand();
            if (isTroubled && burst == 1) freezeAtPrepare(ranks, gateways.get(1 - holder));
            tell("burst " + burst);
            for (int number = 0; number < 6; number++) send(entry, clients, "draft-" + burst + "-" + number);
            lookups(entry, clients, 6);
        }
        // Then the usual traffic, without further trouble.
        for (int second = 0; second < 55; second++) {
            if (second % 10 == 0) tell("usual traffic, second " + second);
            if (second % 6 == 0) ranks.shiftDemand();
            for (int number = 0; number < 3; number++) send(entry, clients, "draft-u" + second + "-" + number);
            lookups(entry, clients, 1);
        }
        for (Thread client : clients) client.join(10_000);
        require(ranks.mapChanges() > 0, "the map was never changed");
        double drafts = (double) draftsServed.get() / draftsSent.get();
        double all = (double) (draftsServed.get() + lookupsServed.get()) / (draftsSent.get() + lookupsSent.get());
        record.write(String.format("served: drafts %d of %d (%.3f), lookups %d of %d; all %.3f, a quarter of it %.3f",
            draftsServed.get(), draftsSent.get(), drafts, lookupsServed.get(), lookupsSent.get(), all, all / 4));
        return drafts >= all / 4;
    }

    private void tell(String what) {
        record.write(what + ", served so far: drafts " + draftsServed + "/" + draftsSent + ", lookups " + lookupsServed + "/" + lookupsSent);
    }

    private void send(String entry, List<Thread> clients, String attempt) {
        clients.add(Http.daemon(() -> draft(entry, attempt)));
    }

    /** Sends four lookups a second. */
    private void lookups(String entry, List<Thread> clients, int seconds) throws InterruptedException {
        for (int number = 0; number < 4 * seconds; number++) {
            String attempt = "lookup-" + lookupsSent.get() + "-" + number;
            clients.add(Http.daemon(() -> lookup(entry, attempt)));
            Thread.sleep(250);
        }
    }

    /** Freezes [gateway] once, when a rank gets the next order to prepare a map. */
    private void freezeAtPrepare(Ranks ranks, Node gateway) {
        AtomicBoolean isFrozen = new AtomicBoolean();
        ranks.trouble = (rank, order) -> {
            if ("prepare".equals(order.get("op")) && !isFrozen.getAndSet(true)) freeze(gateway);
            return false;
        };
    }

    private void freeze(Node gateway) {
        Http.daemon(() -> {
            try {
                gateway.signal("STOP");
                record.write("SIGSTOP to the other entry");
                Thread.sleep(FREEZE_MILLIS);
                gateway.signal("CONT");
                record.write("SIGCONT to the other entry");
            } catch (Exception e) {
                record.write("freeze: " + e);
            }
        });
    }

    private boolean serve(Http.Message request, Socket socket, OutputStream out) throws Exception {
        String attempt = request.header("attempt-id");
        Thread.sleep(40);
        Http.answer(out, "200 OK", "Attempt-Id: " + attempt + "\r\nAnswer-Stamp: s." + attempt + "\r\n", Http.bytes("{}"));
        return true;
    }

    private void lookup(String entry, String attempt) {
        lookupsSent.incrementAndGet();
        Http.Message answer = Http.call(entry, Http.bytes("GET /lookups/1 HTTP/1.1\r\nHost: desk.example\r\nCredential: key-1\r\nAttempt-Id: " +
            attempt + "\r\nDeadline-Ms: 4000\r\n\r\n"), 4000);
        if (answer != null && answer.status() == 200) lookupsServed.incrementAndGet();
    }

    private void draft(String entry, String attempt) {
        draftsSent.incrementAndGet();
        String result;
        try (Socket socket = Http.connect(entry, 8017)) {
            socket.getOutputStream().write(Http.bytes("POST /drafts/1 HTTP/1.1\r\nHost: desk.example\r\nCredential: key-1\r\nAttempt-Id: " + attempt +
                "\r\nModel: m\r\nToken-Counts: 835,97\r\nPrompt-Prefix: 5c1e07a2:40," + Integer.toHexString(attempt.hashCode()) + ":795\r\n" +
                "Deadline-Ms: 8017\r\nContent-Length: 2\r\n\r\n{}"));
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), false);
            boolean isServed = answer != null && answer.status() == 200 && answer.text().contains("id: " + Ranks.EVENTS + "\n");
            if (isServed) draftsServed.incrementAndGet();
            result = answer == null ? "no answer" : answer.startLine + (isServed ? ", whole" : "");
        } catch (Exception e) {
            result = e.toString();
        }
        record.write("client of " + attempt + " gets " + result);
    }
}
