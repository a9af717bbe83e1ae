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
import java.util.stream.StreamSupport;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Prints what hosts decided about one request, from their logs, in order of time, with what they
 * believed of the backend servers that it went to.
 */
final class ExplainCommand implements Command {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final Set<String> SERVER_FIELDS = Set.of("server", "prefillServer");
    private static final Set<String> HEADING = Set.of("at", "host", "event", "request");

    private OptionSpec<String> mRequest;
    private OptionSpec<String> mLogs;

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "tell a request's story from hosts' logs";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        mRequest =
                parser.accepts("request", "the request's id")
                        .withRequiredArg()
                        .required()
                        .describedAs("id");
        mLogs =
                parser.accepts("logs", "log files of any hosts; else standard input")
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
        List<ObjectNode> story = story(options.valueOf(mRequest), events(lines));
        if (story.isEmpty()) {
            throw new CommandException(
                    ExitCode.FAILED,
                    "no line of these logs names request " + options.valueOf(mRequest));
        }
        story.forEach(event -> output.print(line(event), event));
    }

    private static List<String> standardInput() throws CommandException {
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8))) {
            return reader.lines().toList();
        } catch (IOException | UncheckedIOException e) {
            throw new CommandException(ExitCode.FAILED, "cannot read standard input");
        }
    }

    /** Log collectors put things before a line, so the object is looked for inside it. */
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
            // A line that was cut, as the process was killed, tells nothing.
            return Optional.empty();
        }
    }

    private static List<ObjectNode> story(String request, List<ObjectNode> events) {
        List<ObjectNode> own =
                events.stream().filter(e -> e.path("request").asText().equals(request)).toList();
        if (own.isEmpty()) {
            return own;
        }
        Set<String> servers =
                own.stream().flatMap(ExplainCommand::servers).collect(Collectors.toSet());
        Set<String> hosts =
                own.stream().map(e -> e.path("host").asText()).collect(Collectors.toSet());
        String end = own.get(own.size() - 1).path("at").asText();
        List<ObjectNode> background =
                events.stream()
                        .filter(e -> e.path("request").isMissingNode())
                        .filter(e -> hosts.contains(e.path("host").asText()))
                        .filter(e -> e.path("at").asText().compareTo(end) <= 0)
                        .filter(e -> tellsOf(e, servers))
                        .toList();
        List<ObjectNode> story = new ArrayList<>(latestOfEach(background));
        story.addAll(own);
        story.sort(Comparator.comparing(event -> event.path("at").asText()));
        return story;
    }

    private static java.util.stream.Stream<String> servers(ObjectNode event) {
        return SERVER_FIELDS.stream().filter(event::has).map(field -> event.path(field).asText());
    }

    /** The host's declaration, its view of the store, and the servers that the request met. */
    private static boolean tellsOf(ObjectNode event, Set<String> servers) {
        return switch (event.path("event").asText()) {
            case "TableInForce", "StoreSeen", "LimitShare", "Lifecycle" -> true;
            case "ServerSeen", "Ordered" -> servers.contains(event.path("server").asText());
            default -> false;
        };
    }

    /** Of what a host repeats, only the last before the request's end matters. */
    private static List<ObjectNode> latestOfEach(List<ObjectNode> events) {
        Set<String> seen = new HashSet<>();
        List<ObjectNode> latest = new ArrayList<>();
        for (int i = events.size() - 1; i >= 0; i--) {
            ObjectNode event = events.get(i);
            String what =
                    event.path("host").asText()
                            + event.path("event").asText()
                            + event.path("server").asText();
            if (seen.add(what)) {
                latest.add(event);
            }
        }
        return latest;
    }

    private static String line(ObjectNode event) {
        Iterable<String> names = event::fieldNames;
        String fields =
                StreamSupport.stream(names.spliterator(), false)
                        .filter(name -> !HEADING.contains(name))
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
