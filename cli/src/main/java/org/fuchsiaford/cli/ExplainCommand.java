package org.fuchsiaford.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Prints the logged decisions of all hosts about one request in order of time, together with the
 * latest state that those hosts had logged about the backend servers involved.
 */
final class ExplainCommand implements Command {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final Set<String> SERVER_FIELDS = Set.of("server", "prefillServer");
    private static final Set<String> COMMON_FIELDS = Set.of("at", "host", "event", "request");

    private OptionSpec<String> mRequest;
    private OptionSpec<String> mLogs;

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "print the decisions about a request from the logs of hosts";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        mRequest =
                parser.accepts("request", "id of the request")
                        .withRequiredArg()
                        .required()
                        .describedAs("id");
        mLogs =
                parser.accepts("logs", "log files of one or more hosts (default: standard input)")
                        .withRequiredArg()
                        .withValuesSeparatedBy(',')
                        .describedAs("files");
    }

    @Override
    public void run(OptionSet options, Output output) throws CommandException {
        List<String> lines = new ArrayList<>();
        if (options.has(mLogs)) {
            for (String file : options.valuesOf(mLogs)) {
                TextFiles.read(file).lines().forEach(lines::add);
            }
        } else {
            lines.addAll(standardInput());
        }
        List<ObjectNode> timeline = timeline(options.valueOf(mRequest), events(lines));
        if (timeline.isEmpty()) {
            throw new CommandException(
                    ExitCode.FAILED, "no log line mentions request " + options.valueOf(mRequest));
        }
        timeline.forEach(event -> output.print(format(event), event));
    }

    private static List<String> standardInput() throws CommandException {
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            return reader.lines().toList();
        } catch (IOException | UncheckedIOException e) {
            throw new CommandException(ExitCode.FAILED, "cannot read standard input");
        }
    }

    /** Parses log lines. Log collectors may prepend a prefix, so the object may start anywhere. */
    private static List<ObjectNode> events(List<String> lines) {
        return lines.stream()
                .map(ExplainCommand::parse)
                .flatMap(Optional::stream)
                .sorted(Comparator.comparing(event -> event.path("at").asText()))
                .toList();
    }

    private static Optional<ObjectNode> parse(String line) {
        int start = line.indexOf("{\"at\":");
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode node = MAPPER.readTree(line.substring(start));
            return node instanceof ObjectNode object ? Optional.of(object) : Optional.empty();
        } catch (JsonProcessingException e) {
            // The line is truncated because the process was killed; ignore it.
            return Optional.empty();
        }
    }

    private static List<ObjectNode> timeline(String request, List<ObjectNode> events) {
        List<ObjectNode> requestEvents =
                events.stream().filter(e -> e.path("request").asText().equals(request)).toList();
        if (requestEvents.isEmpty()) {
            return requestEvents;
        }
        Set<String> servers =
                requestEvents.stream().flatMap(ExplainCommand::servers).collect(Collectors.toSet());
        Set<String> hosts =
                requestEvents.stream()
                        .map(e -> e.path("host").asText())
                        .collect(Collectors.toSet());
        String lastTime = requestEvents.get(requestEvents.size() - 1).path("at").asText();
        List<ObjectNode> stateEvents =
                events.stream()
                        .filter(e -> e.path("request").isMissingNode())
                        .filter(e -> hosts.contains(e.path("host").asText()))
                        .filter(e -> e.path("at").asText().compareTo(lastTime) <= 0)
                        .filter(e -> describesState(e, servers))
                        .toList();
        List<ObjectNode> timeline = new ArrayList<>(latestPerSubject(stateEvents));
        timeline.addAll(requestEvents);
        timeline.sort(Comparator.comparing(event -> event.path("at").asText()));
        return timeline;
    }

    private static Stream<String> servers(ObjectNode event) {
        return SERVER_FIELDS.stream().filter(event::has).map(field -> event.path(field).asText());
    }

    /** Returns whether an event describes the state of the host or of one of the given servers. */
    private static boolean describesState(ObjectNode event, Set<String> servers) {
        return switch (event.path("event").asText()) {
            case "TableInForce", "StoreSeen", "LimitShare", "Lifecycle" -> true;
            case "ServerSeen", "Ordered" -> servers.contains(event.path("server").asText());
            default -> false;
        };
    }

    /**
     * Returns the latest event for each combination of host, event type and server. Hosts log state
     * repeatedly, and only the last state before the end of the request matters.
     */
    private static List<ObjectNode> latestPerSubject(List<ObjectNode> events) {
        Set<String> seen = new HashSet<>();
        List<ObjectNode> latest = new ArrayList<>();
        for (int i = events.size() - 1; i >= 0; i--) {
            ObjectNode event = events.get(i);
            String subject =
                    event.path("host").asText()
                            + event.path("event").asText()
                            + event.path("server").asText();
            if (seen.add(subject)) {
                latest.add(event);
            }
        }
        return latest;
    }

    private static String format(ObjectNode event) {
        Iterable<String> names = event::fieldNames;
        String fields =
                StreamSupport.stream(names.spliterator(), false)
                        .filter(name -> !COMMON_FIELDS.contains(name))
                        .map(name -> name + "=" + event.path(name).asText())
                        .collect(Collectors.joining(" "));
        return String.format(
                "%s %-16s %-14s %s",
                event.path("at").asText(),
                event.path("host").asText(),
                event.path("event").asText(),
                fields);
    }
}
