import java.io.BufferedInputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The keeper of a group is killed while a worker leaves an order to arm a map unanswered; it is carried out later. */
final class LateArm extends Case {
    /** The pages say 2 to 12 s. */
    private static final long LATE_MILLIS = 7_000;
    private Ranks ranks;
    private final List<Node> gateways = new ArrayList<>();
    private final List<Node.Ports> entries = new ArrayList<>();
    private Store store;
    private volatile boolean isWaiting = false;
    private volatile boolean isLate = false;

    public static void main(String[] arguments) {
        new LateArm().main();
    }

    @Override
    boolean play() throws Exception {
        store = keep(new Store("127.0.0.1", record));
        store.put("op", "config", configuration(7, 4000, Ranks.route() + ",", Ranks.service() + ","));
        ranks = keep(new Ranks(record, false));
        int relayPort = Node.Ports.free("127.0.2.1");
        for (Ranks.Rank rank : ranks.ranks) {
            store.put("servers", rank.id, ranks.row(rank, "karaganda-a"));
            keep(Node.relay(root, temporary, "side-" + rank.number, rank.host + ":" + relayPort, rank.address())).start();
        }
        for (int number = 1; number <= 2; number++) entries.add(new Node.Ports("127.0.1." + number));
        String seeds = "[\"" + entries.get(0).peers + "\",\"" + entries.get(1).peers + "\"]";
        for (int number = 1; number <= 2; number++) {
            Node gateway = keep(Node.gateway(root, temporary, "edge-karaganda-a-" + number, entries.get(number - 1), "karaganda-a",
                store.address(), seeds, relayPort, false));
            gateways.add(gateway);
            gateway.start();
        }
        for (Node.Ports entry : entries) require(Node.awaitReady(entry.readiness, 20), "an entry isn't ready");
        Thread.sleep(7000);
        ranks.trouble = this::withholds;
        List<Thread> clients = new ArrayList<>();
        double end = record.seconds() + 56;
        for (int burst = 0; record.seconds() < end; burst++) {
            ranks.shiftDemand();
            isWaiting = isTroubled && burst > 0 && !isLate;
            record.write("burst " + burst);
            for (int number = 0; number < 6; number++) {
                String attempt = "draft-" + burst + "-" + number;
                String entry = entries.get(number % 2).callers;
                clients.add(Http.daemon(() -> draft(entry, attempt)));
            }
            Thread.sleep(14_000);
        }
        for (Thread client : clients) client.join(9_000);
        require(ranks.mapChanges() > 1, "the map was hardly ever changed");
        record.write(ranks.mixedPasses.size() + " passes began while two ranks had different maps");
        return ranks.mixedPasses.isEmpty();
    }

    /** Leaves one order to arm rank 3 unanswered and kills the keeper's process, which starts again after a second. */
    private synchronized boolean withholds(Ranks.Rank rank, Map<String, Object> order) {
        if (!isWaiting || rank.number != 3 || !"arm".equals(order.get("op"))) return false;
        isWaiting = false;
        isLate = true;
        Http.daemon(() -> {
            try {
                String lease = store.get("entries", "group/g1");
                int holder = lease.contains("edge-karaganda-a-1") ? 0 : 1;
                gateways.get(holder).signal("KILL");
                record.write("SIGKILL to the lease holder, edge-karaganda-a-" + (holder + 1));
                Thread.sleep(1000);
                gateways.get(holder).start();
                record.write("the platform starts it again");
                Thread.sleep(LATE_MILLIS - 1000);
                record.write("rank 3: the late arm " + order.get("version") + " at " + order.get("step") + " -> " + rank.carryOut(order) +
                    ", the last pass is " + ranks.step());
            } catch (Exception e) {
                record.write("trouble: " + e);
            }
        });
        return true;
    }

    private void draft(String entry, String attempt) {
        String result;
        try (Socket socket = Http.connect(entry, 8017)) {
            socket.getOutputStream().write(Http.bytes("POST /drafts/1 HTTP/1.1\r\nHost: desk.example\r\nCredential: key-1\r\nAttempt-Id: " + attempt +
                "\r\nModel: m\r\nToken-Counts: 835,97\r\nPrompt-Prefix: 5c1e07a2:40," + Integer.toHexString(attempt.hashCode()) + ":795\r\n" +
                "Deadline-Ms: 8017\r\nContent-Length: 2\r\n\r\n{}"));
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()), false);
            result = answer == null ? "no answer" : answer.startLine + (answer.text().contains("id: " + Ranks.EVENTS + "\n") ? ", whole" : "");
        } catch (Exception e) {
            result = e.toString();
        }
        record.write("client of " + attempt + " gets " + result);
    }
}
