#include "settings/settings.hpp"

#include <boost/asio/ip/address.hpp>
#include <cxxopts.hpp>

#include <array>
#include <cctype>
#include <charconv>
#include <set>
#include <sstream>

namespace bergamotusher
{

namespace
{

constexpr std::size_t max_id_bytes = 64;
constexpr unsigned max_drain_seconds = 3600;

struct flag
{
    const char* name;
    const char* help;
    const char* default_value;
};

constexpr std::array flags{
    flag{"node-id", "name of this process, unique in the system", ""},
    flag{"region", "region of this instance", "local"},
    flag{"failure-domain", "failure domain of this instance", ""},
    flag{"roles", "entry, control, or entry,control", "entry,control"},
    flag{"entry-address", "IP:PORT for callers", "127.0.0.1:8080"},
    flag{"admin-address", "IP:PORT for operators", "127.0.0.1:9080"},
    flag{"peer-address", "IP:PORT for peers", "127.0.0.1:7080"},
    flag{
        "peers",
        "all processes, including this one: "
        "ID=IP:PEER_PORT[/ENTRY_PORT/ADMIN_PORT]@DOMAIN[,...]",
        ""},
    flag{"data-dir", "data directory of the control replica", ""},
    flag{"cloud-url", "IP:PORT of the cloud API, or http://IP:PORT", ""},
    flag{"admin-token-file", "file with the operators' bearer token", ""},
    flag{"upstream-token-file", "file with the upstreams' bearer token", ""},
    flag{"peer-key-file", "file with the key pair shared by peers", ""},
    flag{
        "drain-seconds",
        "maximum wait for requests in flight at shutdown",
        "120"},
    flag{"log-level", "debug, info, warn or error", "info"},
    flag{"log-format", "text or json", "text"}};

std::string variable_name(const char* name)
{
    std::string result = "BERGAMOTUSHER_";
    for (const char* c = name; *c != '\0'; ++c)
        result += *c == '-' ? '_' : static_cast<char>(std::toupper(*c));
    return result;
}

failure make_failure(
    const std::string& name, const std::string& value, const char* reason)
{
    return {
        error_kind::invalid_setting,
        "--" + name + "='" + value + "': " + reason};
}

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, port);
    if (error != std::errc{} || stop != end || port == 0)
        return std::nullopt;
    return port;
}

bool is_valid_id(const std::string& id)
{
    if (id.empty() || id.size() > max_id_bytes)
        return false;
    for (const char c : id)
        if (!std::isalnum(static_cast<unsigned char>(c)) && c != '-' &&
            c != '_' && c != '.')
            return false;
    return true;
}

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);)
        parts.push_back(part);
    return parts;
}

std::optional<peer> parse_peer(const std::string& text)
{
    const std::size_t equals = text.find('=');
    const std::size_t at = text.rfind('@');
    if (equals == std::string::npos || at == std::string::npos || at < equals)
        return std::nullopt;
    const auto ports = split(text.substr(equals + 1, at - equals - 1), '/');
    if (ports.size() != 1 && ports.size() != 3)
        return std::nullopt;
    const auto address = parse_endpoint(ports[0]);
    peer result{{text.substr(0, equals)}, {}, {text.substr(at + 1)}, {}, {}};
    if (!address || !is_valid_id(result.id.value) ||
        !is_valid_id(result.domain.value))
        return std::nullopt;
    result.address = *address;
    result.entry = result.admin = *address;
    if (ports.size() == 3)
    {
        const auto entry = parse_port(ports[1]);
        const auto admin = parse_port(ports[2]);
        if (!entry || !admin)
            return std::nullopt;
        result.entry.port = *entry;
        result.admin.port = *admin;
    }
    return result;
}

/// Reads the values of the settings and keeps the first failure found.
struct settings_reader
{
    /// The text of a setting from flag, environment or default.
    std::function<std::string(const char*)> value;
    std::optional<failure> first_failure;

    void add_failure(const char* name, const char* reason)
    {
        if (!first_failure)
            first_failure = make_failure(name, value(name), reason);
    }

    std::string read_id(const char* name)
    {
        std::string text = value(name);
        if (!is_valid_id(text))
            add_failure(
                name, "must be 1 to 64 letters, digits, '-', '_' or '.'");
        return text;
    }

    endpoint read_address(const char* name)
    {
        const auto parsed = parse_endpoint(value(name));
        if (!parsed)
            add_failure(name, "is not IP:PORT");
        return parsed.value_or(endpoint{});
    }

    std::string read_choice(
        const char* name,
        const std::set<std::string>& allowed,
        const char* reason)
    {
        std::string text = value(name);
        if (allowed.count(text) == 0)
            add_failure(name, reason);
        return text;
    }
};

void read_roles(settings_reader& from, settings& into)
{
    into.entry_role = into.control_role = false;
    for (const std::string& role : split(from.value("roles"), ','))
    {
        if (role == "entry")
            into.entry_role = true;
        else if (role == "control")
            into.control_role = true;
        else
            from.add_failure("roles", "may contain only entry and control");
    }
    if (!into.entry_role && !into.control_role)
        from.add_failure("roles", "must contain at least one role");
    if (!into.control_role)
        from.add_failure(
            "roles",
            "must contain control: an entry reads its configuration from the "
            "control replica in its own process");
    if (into.control_role && from.value("data-dir").empty())
        from.add_failure("data-dir", "is required by the role control");
}

void read_peers(settings_reader& from, settings& into)
{
    std::set<std::string> seen;
    for (const std::string& text : split(from.value("peers"), ','))
    {
        const auto parsed = parse_peer(text);
        if (!parsed)
        {
            from.add_failure(
                "peers",
                "is not ID=IP:PORT[/ENTRY_PORT/ADMIN_PORT]@DOMAIN[,...]");
            return;
        }
        if (!seen.insert(parsed->id.value).second)
            from.add_failure("peers", "names a node twice");
        into.peers.push_back(*parsed);
    }
    if (into.peers.empty())
        into.peers.push_back(
            {into.node,
             into.peer_address,
             into.domain,
             into.entry_address,
             into.admin_address});
    else if (seen.count(into.node.value) == 0)
        from.add_failure("peers", "does not name this process");
}

void read_cloud(settings_reader& from, settings& into)
{
    std::string text = from.value("cloud-url");
    if (text.empty())
        return;
    if (text.rfind("http://", 0) == 0)
        text = text.substr(7);
    into.cloud = parse_endpoint(text);
    if (!into.cloud)
        from.add_failure("cloud-url", "is not IP:PORT or http://IP:PORT");
}

void read_drain(settings_reader& from, settings& into)
{
    const std::string text = from.value("drain-seconds");
    unsigned seconds = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, seconds);
    if (error != std::errc{} || stop != end || seconds > max_drain_seconds)
        from.add_failure("drain-seconds", "is not a number from 0 to 3600");
    into.drain_time = std::chrono::seconds(seconds);
}

settings read_settings(settings_reader& from)
{
    settings into;
    into.node.value = from.read_id("node-id");
    into.region = from.read_id("region");
    into.domain.value = from.read_id("failure-domain");
    into.entry_address = from.read_address("entry-address");
    into.admin_address = from.read_address("admin-address");
    into.peer_address = from.read_address("peer-address");
    into.data_dir = from.value("data-dir");
    into.admin_token_file = from.value("admin-token-file");
    into.upstream_token_file = from.value("upstream-token-file");
    into.peer_key_file = from.value("peer-key-file");
    read_roles(from, into);
    read_peers(from, into);
    read_cloud(from, into);
    read_drain(from, into);
    into.log_level = from.read_choice(
        "log-level",
        {"debug", "info", "warn", "error"},
        "is not debug, info, warn or error");
    into.log_format =
        from.read_choice("log-format", {"text", "json"}, "is not text or json");
    return into;
}

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "bergamotusherd",
        "Routes client requests to upstreams on reclaimable instances.");
    auto add = options.add_options();
    for (const flag& row : flags)
        add(row.name,
            std::string(row.help) + " [" + variable_name(row.name) + "]",
            cxxopts::value<std::string>()->default_value(row.default_value));
    add("check", "check the settings and exit");
    add("print-settings", "print the settings in force and exit");
    add("help", "print this text");
    add("version", "print the version");
    return options;
}

command_line_action requested_action(const cxxopts::ParseResult& parsed)
{
    if (parsed.count("help") > 0)
        return command_line_action::help;
    if (parsed.count("version") > 0)
        return command_line_action::version;
    if (parsed.count("check") > 0)
        return command_line_action::check;
    if (parsed.count("print-settings") > 0)
        return command_line_action::print_settings;
    return command_line_action::run;
}

std::string peers_text(const std::vector<peer>& peers)
{
    std::string text;
    for (const peer& each : peers)
        text += (text.empty() ? "" : ",") + each.id.value + "=" +
                to_string(each.address) + "/" +
                std::to_string(each.entry.port) + "/" +
                std::to_string(each.admin.port) + "@" + each.domain.value;
    return text;
}

std::string roles_text(const settings& values)
{
    if (values.entry_role && values.control_role)
        return "entry,control";
    return values.entry_role ? "entry" : "control";
}

} // namespace

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const std::string ip(text.substr(0, colon));
    const auto port = parse_port(text.substr(colon + 1));
    boost::system::error_code error;
    boost::asio::ip::make_address_v4(ip, error);
    if (error || !port)
        return std::nullopt;
    return endpoint{ip, *port};
}

std::string to_string(const endpoint& where)
{
    return where.ip + ":" + std::to_string(where.port);
}

std::variant<command_line, failure> parse_command_line(
    int argc, const char* const* argv, const environment& variables)
{
    try
    {
        cxxopts::Options options = make_options();
        const auto parsed = options.parse(argc, argv);
        if (!parsed.unmatched().empty())
            return failure{
                error_kind::invalid_setting,
                "'" + parsed.unmatched().front() + "': is not a flag"};
        command_line result{requested_action(parsed), {}};
        if (result.action == command_line_action::help ||
            result.action == command_line_action::version)
            return result;
        settings_reader from;
        from.value = [&](const char* name)
        {
            if (parsed.count(name) == 0)
                if (auto set = variables(variable_name(name).c_str()))
                    return *set;
            return parsed[name].as<std::string>();
        };
        result.values = read_settings(from);
        if (from.first_failure)
            return *from.first_failure;
        return result;
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        return failure{error_kind::invalid_setting, error.what()};
    }
}

std::string help_text()
{
    return make_options().help();
}

std::string to_text(const settings& values)
{
    std::ostringstream out;
    out << "--node-id=" << values.node.value << "\n--region=" << values.region
        << "\n--failure-domain=" << values.domain.value
        << "\n--roles=" << roles_text(values)
        << "\n--entry-address=" << to_string(values.entry_address)
        << "\n--admin-address=" << to_string(values.admin_address)
        << "\n--peer-address=" << to_string(values.peer_address)
        << "\n--peers=" << peers_text(values.peers)
        << "\n--data-dir=" << values.data_dir << "\n--cloud-url="
        << (values.cloud ? to_string(*values.cloud) : std::string())
        << "\n--admin-token-file=" << values.admin_token_file
        << "\n--upstream-token-file=" << values.upstream_token_file
        << "\n--peer-key-file=" << values.peer_key_file << "\n--drain-seconds="
        << static_cast<long>(to_seconds(values.drain_time))
        << "\n--log-level=" << values.log_level
        << "\n--log-format=" << values.log_format << "\n";
    return out.str();
}

} // namespace bergamotusher
