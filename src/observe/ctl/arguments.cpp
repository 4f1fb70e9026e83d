#include "observe/ctl/arguments.hpp"

#include <boost/asio/ip/address.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace bergamotusher::ctl
{

namespace
{

constexpr const char* commands_help = R"(Commands:
  status                            roles, leader, revision of every process
  config get COLLECTION [NAME]      classes, services or accounts
  config put COLLECTION NAME FILE --revision N
                                    FILE - is standard input; N is the revision
                                    that config get shows, 0 at the very first
  config history                    committed changes
  move start SERVICE VERSION --deadline SECONDS
  move show ID
  move list
  timeline                          events of all processes, merged
  entries                           the addresses that callers are given
  upstreams                         announced upstreams
  report                            latency, cost, tokens, version moves

Exit status: 0 done, 1 refused or failed, 2 wrong usage, 3 no answer.
)";

/// Maximum number of operands of a command.
std::size_t operand_count(command what)
{
    switch (what)
    {
    case command::config_put:
        return 3;
    case command::config_get:
    case command::move_start:
        return 2;
    case command::move_show:
        return 1;
    default:
        return 0;
    }
}

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "bergamotctl", "Drives bergamotusher over its administration API.");
    auto add = options.add_options();
    add("help", "Print this and exit");
    add("version", "Print the version and exit");
    add("admin",
        "Administration addresses, IP:PORT[,...]; also BERGAMOTUSHER_ADMIN",
        cxxopts::value<std::string>());
    add("entry",
        "Entry addresses, IP:PORT[,...]; also BERGAMOTUSHER_ENTRY",
        cxxopts::value<std::string>());
    add("token-file",
        "File with the bearer token; also BERGAMOTUSHER_TOKEN_FILE",
        cxxopts::value<std::string>());
    add("json", "Print JSON instead of tables");
    add("timeout",
        "Seconds for one try at one address",
        cxxopts::value<std::string>());
    add("idempotency-key",
        "Key of this change; repeat it to resend the same change",
        cxxopts::value<std::string>());
    add("revision",
        "The revision that the change is based on",
        cxxopts::value<std::string>());
    add("deadline",
        "Seconds until the move must be done or taken back",
        cxxopts::value<std::string>());
    add("request", "Only this request", cxxopts::value<std::string>());
    add("move", "Only this version move", cxxopts::value<std::string>());
    add("upstream", "Only this upstream", cxxopts::value<std::string>());
    add("since",
        "Only events after this time, WALL[.LOGICAL]",
        cxxopts::value<std::string>());
    add("limit", "Most events of one process", cxxopts::value<std::string>());
    add("follow", "Go on with new events until interrupted");
    add("over",
        "Report on this many seconds from now",
        cxxopts::value<std::string>());
    add("svg", "Also draw the report here", cxxopts::value<std::string>());
    add("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("words");
    options.positional_help("COMMAND");
    return options;
}

std::string flag_value(const cxxopts::ParseResult& flags, const char* name)
{
    return flags.count(name) > 0 ? flags[name].as<std::string>() : "";
}

std::string flag_or_environment(
    const cxxopts::ParseResult& flags,
    const char* flag,
    const environment& variable,
    const char* name)
{
    if (flags.count(flag) > 0)
        return flag_value(flags, flag);
    return variable(name).value_or("");
}

/// Parses the number of the flag `name`, if it is set, into `value`. Throws
/// `usage_error` if it is not a number of at least `min_value`.
template<class Number>
void read_number(
    const cxxopts::ParseResult& flags,
    const char* name,
    Number min_value,
    Number& value)
{
    if (flags.count(name) == 0)
        return;
    const std::string text = flag_value(flags, name);
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc{} || result.ptr != end || value < min_value)
        throw usage_error{
            "--" + std::string(name) + " " + text +
            ": not a whole number from " + std::to_string(min_value)};
}

/// Removes the command, of one or two words, from the front of `words`; the
/// operands remain.
command extract_command(std::vector<std::string>& words)
{
    if (words.empty())
        throw usage_error{"no command; see --help"};
    for (const std::size_t length : {std::size_t{2}, std::size_t{1}})
    {
        if (words.size() < length)
            continue;
        const std::string name =
            length == 2 ? words[0] + " " + words[1] : words[0];
        if (const auto what = from_name<command>(name))
        {
            words.erase(
                words.begin(),
                words.begin() + static_cast<std::ptrdiff_t>(length));
            return *what;
        }
    }
    throw usage_error{words[0] + ": no such command; see --help"};
}

std::vector<endpoint>
read_endpoints(const char* flag, const std::string& text, bool required)
{
    if (text.empty() && !required)
        return {};
    if (text.empty())
        throw usage_error{std::string(flag) + " is required"};
    auto endpoints = parse_endpoints(text);
    if (!endpoints)
        throw usage_error{
            std::string(flag) + " " + text + ": not IP:PORT[,IP:PORT...]"};
    return *std::move(endpoints);
}

void read_addresses(
    arguments& args,
    const cxxopts::ParseResult& flags,
    const environment& variable)
{
    const bool asks_entries = args.what == command::entries;
    args.admins = read_endpoints(
        "--admin",
        flag_or_environment(flags, "admin", variable, "BERGAMOTUSHER_ADMIN"),
        !asks_entries);
    args.entries = read_endpoints(
        "--entry",
        flag_or_environment(flags, "entry", variable, "BERGAMOTUSHER_ENTRY"),
        asks_entries);
    args.token_file = flag_or_environment(
        flags, "token-file", variable, "BERGAMOTUSHER_TOKEN_FILE");
}

void read_operands(arguments& args, const std::vector<std::string>& words)
{
    const std::size_t expected_count = operand_count(args.what);
    const std::string name(to_name(args.what));
    // `config get` without a name returns the whole collection.
    const bool whole_collection =
        args.what == command::config_get && words.size() == 1;
    if (words.size() != expected_count && !whole_collection)
        throw usage_error{
            name + ": takes " + std::to_string(expected_count) +
            " words, got " + std::to_string(words.size())};
    if (args.what == command::move_show)
        args.move = words[0];
    if (args.what == command::move_start)
    {
        args.service = words[0];
        args.version = words[1];
    }
    if (args.what != command::config_get && args.what != command::config_put)
        return;
    args.collection = words[0];
    args.name = whole_collection ? "" : words[1];
    if (args.what == command::config_put)
        args.file = words[2];
    constexpr std::array collections{"classes", "services", "accounts"};
    if (std::find(collections.begin(), collections.end(), args.collection) ==
        collections.end())
        throw usage_error{
            name + " " + args.collection +
            ": not one of classes, services, accounts"};
}

void read_change_options(arguments& args, const cxxopts::ParseResult& flags)
{
    args.idempotency_key = flag_value(flags, "idempotency-key");
    if (args.what == command::config_put && flags.count("revision") == 0)
        throw usage_error{
            "config put: --revision is required (see config get)"};
    if (args.what == command::move_start && flags.count("deadline") == 0)
        throw usage_error{"move start: --deadline is required"};
    read_number(flags, "revision", std::uint64_t{0}, args.revision);
    read_number(flags, "deadline", std::uint32_t{1}, args.deadline_s);
}

void read_timeline_options(arguments& args, const cxxopts::ParseResult& flags)
{
    args.query.request.value = flag_value(flags, "request");
    args.query.move.value = flag_value(flags, "move");
    args.query.target.value = flag_value(flags, "upstream");
    read_number(flags, "limit", std::size_t{1}, args.query.limit);
    args.follow = flags.count("follow") > 0;
    if (flags.count("since") == 0)
        return;
    const std::string since = flag_value(flags, "since");
    args.query.since = observe::parse_hybrid_time(since);
    if (!args.query.since)
        throw usage_error{"--since " + since + ": not WALL[.LOGICAL]"};
}

arguments
read_arguments(const cxxopts::ParseResult& flags, const environment& variable)
{
    std::vector<std::string> words;
    if (flags.count("words") > 0)
        words = flags["words"].as<std::vector<std::string>>();
    arguments args;
    args.what = extract_command(words);
    read_operands(args, words);
    read_addresses(args, flags, variable);
    read_change_options(args, flags);
    read_timeline_options(args, flags);
    args.json = flags.count("json") > 0;
    std::uint32_t timeout_s = 5;
    read_number(flags, "timeout", std::uint32_t{1}, timeout_s);
    args.timeout = std::chrono::seconds(timeout_s);
    read_number(flags, "over", std::uint32_t{1}, args.over_s);
    args.svg_file = flag_value(flags, "svg");
    return args;
}

} // namespace

std::optional<std::vector<endpoint>> parse_endpoints(const std::string& text)
{
    std::vector<endpoint> endpoints;
    std::size_t begin = 0;
    while (begin <= text.size())
    {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        const std::string part = text.substr(begin, end - begin);
        const std::size_t colon = part.rfind(':');
        if (colon == std::string::npos)
            return std::nullopt;
        const endpoint parsed{part.substr(0, colon), part.substr(colon + 1)};
        boost::system::error_code error;
        boost::asio::ip::make_address(parsed.host, error);
        std::uint16_t port = 0;
        const char* port_end = parsed.port.data() + parsed.port.size();
        const auto port_result =
            std::from_chars(parsed.port.data(), port_end, port);
        if (error || port_result.ptr != port_end || port == 0)
            return std::nullopt;
        endpoints.push_back(parsed);
        begin = end + 1;
    }
    return endpoints;
}

parsed_arguments parse_arguments(
    const std::vector<std::string>& words, const environment& variable)
{
    std::vector<const char*> argv{"bergamotctl"};
    for (const std::string& argument : words)
        argv.push_back(argument.c_str());
    cxxopts::Options options = make_options();
    try
    {
        const auto flags =
            options.parse(static_cast<int>(argv.size()), argv.data());
        if (flags.count("help") > 0)
            return information{options.help() + "\n" + commands_help};
        if (flags.count("version") > 0)
            return information{"bergamotctl " BERGAMOTUSHER_VERSION "\n"};
        return read_arguments(flags, variable);
    }
    catch (const usage_error& error)
    {
        return error;
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        return usage_error{error.what()};
    }
}

} // namespace bergamotusher::ctl
