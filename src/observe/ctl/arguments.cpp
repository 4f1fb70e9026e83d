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

/// How many words follow each command at most.
std::size_t operands_of(command what)
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

std::string text_of(const cxxopts::ParseResult& flags, const char* name)
{
    return flags.count(name) > 0 ? flags[name].as<std::string>() : "";
}

std::string setting(
    const cxxopts::ParseResult& flags,
    const char* flag,
    const environment& variable,
    const char* name)
{
    if (flags.count(flag) > 0)
        return text_of(flags, flag);
    return variable(name).value_or("");
}

/// Reads the number of a flag, if it is there, into `value`.
template<class Number>
void read_number(
    const cxxopts::ParseResult& flags,
    const char* name,
    Number least,
    Number& value)
{
    if (flags.count(name) == 0)
        return;
    const std::string text = text_of(flags, name);
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    if (read.ec != std::errc{} || read.ptr != end || value < least)
        throw usage_error{
            "--" + std::string(name) + " " + text +
            ": not a whole number from " + std::to_string(least)};
}

/// Splits off the command; what is left are its operands.
command take_command(std::vector<std::string>& words)
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
    arguments& read,
    const cxxopts::ParseResult& flags,
    const environment& variable)
{
    const bool asks_entries = read.what == command::entries;
    read.admins = read_endpoints(
        "--admin",
        setting(flags, "admin", variable, "BERGAMOTUSHER_ADMIN"),
        !asks_entries);
    read.entries = read_endpoints(
        "--entry",
        setting(flags, "entry", variable, "BERGAMOTUSHER_ENTRY"),
        asks_entries);
    read.token_file =
        setting(flags, "token-file", variable, "BERGAMOTUSHER_TOKEN_FILE");
}

void read_operands(arguments& read, const std::vector<std::string>& words)
{
    const std::size_t wanted = operands_of(read.what);
    const std::string name(to_name(read.what));
    // A collection without a name is read whole.
    const bool whole = read.what == command::config_get && words.size() == 1;
    if (words.size() != wanted && !whole)
        throw usage_error{
            name + ": takes " + std::to_string(wanted) + " words, got " +
            std::to_string(words.size())};
    if (read.what == command::move_show)
        read.move = words[0];
    if (read.what == command::move_start)
    {
        read.service = words[0];
        read.version = words[1];
    }
    if (read.what != command::config_get && read.what != command::config_put)
        return;
    read.collection = words[0];
    read.name = whole ? "" : words[1];
    if (read.what == command::config_put)
        read.file = words[2];
    constexpr std::array known{"classes", "services", "accounts"};
    if (std::find(known.begin(), known.end(), read.collection) == known.end())
        throw usage_error{
            name + " " + read.collection +
            ": not one of classes, services, accounts"};
}

void read_change(arguments& read, const cxxopts::ParseResult& flags)
{
    read.idempotency_key = text_of(flags, "idempotency-key");
    if (read.what == command::config_put && flags.count("revision") == 0)
        throw usage_error{
            "config put: --revision is required (see config get)"};
    if (read.what == command::move_start && flags.count("deadline") == 0)
        throw usage_error{"move start: --deadline is required"};
    read_number(flags, "revision", std::uint64_t{0}, read.revision);
    read_number(flags, "deadline", std::uint32_t{1}, read.deadline_s);
}

void read_timeline(arguments& read, const cxxopts::ParseResult& flags)
{
    read.query.request.value = text_of(flags, "request");
    read.query.move.value = text_of(flags, "move");
    read.query.target.value = text_of(flags, "upstream");
    read_number(flags, "limit", std::size_t{1}, read.query.limit);
    read.follow = flags.count("follow") > 0;
    if (flags.count("since") == 0)
        return;
    const std::string since = text_of(flags, "since");
    read.query.since = observe::parse_hybrid_time(since);
    if (!read.query.since)
        throw usage_error{"--since " + since + ": not WALL[.LOGICAL]"};
}

arguments read_all(const cxxopts::ParseResult& flags, const environment& names)
{
    std::vector<std::string> words;
    if (flags.count("words") > 0)
        words = flags["words"].as<std::vector<std::string>>();
    arguments read;
    read.what = take_command(words);
    read_operands(read, words);
    read_addresses(read, flags, names);
    read_change(read, flags);
    read_timeline(read, flags);
    read.json = flags.count("json") > 0;
    std::uint32_t timeout_s = 5;
    read_number(flags, "timeout", std::uint32_t{1}, timeout_s);
    read.timeout = std::chrono::seconds(timeout_s);
    read_number(flags, "over", std::uint32_t{1}, read.over_s);
    read.svg_file = text_of(flags, "svg");
    return read;
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
        const endpoint read{part.substr(0, colon), part.substr(colon + 1)};
        boost::system::error_code error;
        boost::asio::ip::make_address(read.host, error);
        std::uint16_t port = 0;
        const char* last = read.port.data() + read.port.size();
        const auto number = std::from_chars(read.port.data(), last, port);
        if (error || number.ptr != last || port == 0)
            return std::nullopt;
        endpoints.push_back(read);
        begin = end + 1;
    }
    return endpoints;
}

parsed_arguments parse_arguments(
    const std::vector<std::string>& words, const environment& variable)
{
    std::vector<const char*> argv{"bergamotctl"};
    for (const std::string& word : words)
        argv.push_back(word.c_str());
    cxxopts::Options options = make_options();
    try
    {
        const auto flags =
            options.parse(static_cast<int>(argv.size()), argv.data());
        if (flags.count("help") > 0)
            return information{options.help() + "\n" + commands_help};
        if (flags.count("version") > 0)
            return information{"bergamotctl " BERGAMOTUSHER_VERSION "\n"};
        return read_all(flags, variable);
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
