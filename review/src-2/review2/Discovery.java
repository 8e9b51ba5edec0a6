package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** The platform's discovery agent: the whole list, and watches that wait for changes. */
final class Discovery {
    /** One entry of the list. */
    record Endpoint(
            String name, String address, String zone, String type, int group, String status) {
        Endpoint withStatus(String newStatus) {
            return new Endpoint(name, address, zone, type, group, newStatus);
        }

        String json() {
            return "{\"name\":\""
                    + name
                    + "\",\"address\":\""
                    + address
                    + "\",\"zone\":\""
                    + zone
                    + "\",\"type\":\""
                    + type
                    + "\",\"group\":"
                    + group
                    + ",\"status\":\""
                    + status
                    + "\",\"weight\":1.0,\"since_ms\":0}";
        }
    }

    private record Change(int index, Endpoint endpoint) {}

    private final Lab lab;
    private final HttpServer server;
    private final Map<String, Endpoint> entries = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private int index = 41;
    private int wholeFrom = Integer.MAX_VALUE;
    private double lastWholeTold = -1;
    private int highestSince;

    Discovery(Lab lab) throws IOException {
        this.lab = lab;
        server =
                HttpServer.create(
                        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), lab.freePort()),
                        50);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(task, "discovery");
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext("/catalog/members", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized void put(Endpoint endpoint) {
        entries.put(endpoint.name(), endpoint);
    }

    /** Tells a change of one entry; an entry that is gone leaves the list. */
    synchronized void tell(Endpoint endpoint) {
        index++;
        changes.add(new Change(index, endpoint));
        if (endpoint.status().equals("gone")) {
            entries.remove(endpoint.name());
        } else {
            entries.put(endpoint.name(), endpoint);
        }
        notifyAll();
    }

    /** Drops an entry and answers the watches with the whole list, which no longer names it. */
    synchronized void leaveOutOfWholeList(String name) {
        index++;
        wholeFrom = index;
        entries.remove(name);
        notifyAll();
    }

    /** Whether the broker has asked for what is newer than the present version. */
    synchronized boolean isTold() {
        return highestSince >= index;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String query = exchange.getRequestURI().getQuery();
        String body = query == null ? whole() : watch(query);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized String whole() {
        lab.note("discovery: the whole list, index " + index + ", " + entries.size() + " entries");
        return list(true, List.copyOf(entries.values()));
    }

    private String list(boolean snapshot, List<Endpoint> endpoints) {
        List<String> json = endpoints.stream().map(Endpoint::json).toList();
        return "{\"index\":"
                + index
                + ",\"snapshot\":"
                + snapshot
                + ",\"endpoints\":["
                + String.join(",", json)
                + "]}";
    }

    private synchronized String watch(String query) {
        int since = 0;
        long waitMs = 20_000;
        for (String pair : query.split("&")) {
            if (pair.startsWith("since=")) {
                since = Integer.parseInt(pair.substring(6));
            } else if (pair.startsWith("timeout_ms=")) {
                waitMs = Long.parseLong(pair.substring(11));
            }
        }
        highestSince = Math.max(highestSince, since);
        double endsAt = lab.now() + Math.min(60_000, waitMs);
        while (index <= since && lab.now() < endsAt) {
            try {
                wait((long) Math.max(1, endsAt - lab.now()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        if (index > since && wholeFrom > since && wholeFrom <= index) {
            return whole();
        }
        List<Endpoint> changed = new ArrayList<>();
        for (Change change : changes) {
            if (change.index() > since) {
                changed.add(change.endpoint());
            }
        }
        if (!changed.isEmpty()) {
            lab.note("discovery: changes up to index " + index + ": " + changed);
        }
        return list(false, changed);
    }
}
