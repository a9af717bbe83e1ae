package org.fuchsiaford.standin.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.fuchsiaford.standin.Json;

/**
 * The state of the store stand-in: keys with revisions, leases, and a log of all changes for
 * watches. Keys are kept decoded, since ranges compare their text; values stay Base64-encoded.
 * Thread-safe.
 */
final class KeyValueState {
    private final TreeMap<String, Entry> mEntries = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new TreeMap<>();
    private final List<Change> mLog = new ArrayList<>();
    private long mRevision = 1;
    private long mLastLease = 1;
    private long mCalls;

    /** The current value of a key, Base64-encoded, with its revision and lease. */
    record Entry(String value, long revision, long lease) {}

    /** A change to a key; the value is null if the key was deleted. */
    record Change(String key, String value, long revision) {}

    private static final class Lease {
        private final long mTtlSeconds;
        private long mDeadlineNanos;

        Lease(long ttlSeconds, long nowNanos) {
            mTtlSeconds = ttlSeconds;
            renew(nowNanos);
        }

        void renew(long nowNanos) {
            mDeadlineNanos = nowNanos + TimeUnit.SECONDS.toNanos(mTtlSeconds);
        }
    }

    synchronized ObjectNode range(JsonNode request) {
        mCalls++;
        ObjectNode reply = header();
        addRange(reply, request);
        return reply;
    }

    synchronized ObjectNode transact(JsonNode request) {
        mCalls++;
        boolean succeeded = true;
        for (JsonNode compare : request.path("compare")) {
            succeeded &= matches(compare);
        }
        List<ObjectNode> responses = new ArrayList<>();
        for (JsonNode operation : request.path(succeeded ? "success" : "failure")) {
            responses.add(apply(operation));
        }
        ObjectNode reply = header().put("succeeded", succeeded);
        reply.putArray("responses").addAll(responses);
        return reply;
    }

    private boolean matches(JsonNode compare) {
        Entry entry = mEntries.get(Base64Text.decode(compare.path("key").asText()));
        long revision = entry == null ? 0 : entry.revision();
        return revision == compare.path("mod_revision").asLong();
    }

    private ObjectNode apply(JsonNode operation) {
        ObjectNode response = Json.object();
        if (operation.has("requestPut")) {
            JsonNode put = operation.path("requestPut");
            put(
                    Base64Text.decode(put.path("key").asText()),
                    put.path("value").asText(),
                    put.path("lease").asLong());
            response.putObject("response_put");
        } else {
            addRange(response.putObject("response_range"), operation.path("requestRange"));
        }
        return response;
    }

    private void put(String key, String value, long lease) {
        mRevision++;
        mEntries.put(key, new Entry(value, mRevision, lease));
        mLog.add(new Change(key, value, mRevision));
    }

    private void addRange(ObjectNode reply, JsonNode request) {
        ArrayNode kvs = reply.putArray("kvs");
        String from = Base64Text.decode(request.path("key").asText());
        String end = Base64Text.decode(request.path("range_end").asText());
        String to = end.isEmpty() ? from + "\0" : end;
        mEntries.subMap(from, to).forEach((key, entry) -> addEntry(kvs, key, entry));
    }

    private static void addEntry(ArrayNode kvs, String key, Entry entry) {
        kvs.addObject()
                .put("key", Base64Text.encode(key))
                .put("value", entry.value())
                .put("mod_revision", Long.toString(entry.revision()));
    }

    synchronized ObjectNode grantLease(long ttlSeconds, long nowNanos) {
        mCalls++;
        mLastLease++;
        mLeases.put(mLastLease, new Lease(ttlSeconds, nowNanos));
        return header().put("ID", Long.toString(mLastLease)).put("TTL", Long.toString(ttlSeconds));
    }

    synchronized ObjectNode keepAlive(long id, long nowNanos) {
        mCalls++;
        Lease lease = mLeases.get(id);
        ObjectNode reply = Json.object();
        ObjectNode result = reply.putObject("result").put("ID", Long.toString(id));
        if (lease != null) {
            lease.renew(nowNanos);
            result.put("TTL", Long.toString(lease.mTtlSeconds));
        }
        return reply;
    }

    /** Expires leases that were not renewed in time and deletes their keys. */
    synchronized void expire(long nowNanos) {
        List<Long> expired =
                mLeases.entrySet().stream()
                        .filter(entry -> nowNanos - entry.getValue().mDeadlineNanos >= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        expired.forEach(mLeases::remove);
        mEntries.entrySet().stream()
                .filter(entry -> expired.contains(entry.getValue().lease()))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::delete);
    }

    private void delete(String key) {
        mRevision++;
        mEntries.remove(key);
        mLog.add(new Change(key, null, mRevision));
    }

    /** Returns the changes to a range since a revision as a watch message, or null if none. */
    synchronized ObjectNode changes(JsonNode watch, long fromRevision) {
        String from = Base64Text.decode(watch.path("key").asText());
        String end = Base64Text.decode(watch.path("range_end").asText());
        List<Change> changes =
                mLog.stream()
                        .filter(change -> change.revision() >= fromRevision)
                        .filter(change -> change.key().compareTo(from) >= 0)
                        .filter(change -> change.key().compareTo(end) < 0)
                        .toList();
        return changes.isEmpty() ? null : eventMessage(changes);
    }

    private ObjectNode eventMessage(List<Change> changes) {
        ObjectNode message = Json.object();
        ArrayNode events = message.putObject("result").putArray("events");
        for (Change change : changes) {
            ObjectNode event = events.addObject();
            ObjectNode kv = event.putObject("kv").put("key", Base64Text.encode(change.key()));
            kv.put("mod_revision", Long.toString(change.revision()));
            if (change.value() == null) {
                event.put("type", "DELETE");
            } else {
                kv.put("value", change.value());
            }
        }
        return message;
    }

    synchronized long revision() {
        return mRevision;
    }

    synchronized long calls() {
        return mCalls;
    }

    private ObjectNode header() {
        ObjectNode reply = Json.object();
        reply.putObject("header").put("revision", Long.toString(mRevision));
        return reply;
    }
}
