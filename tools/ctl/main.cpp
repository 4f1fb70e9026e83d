// bergamotctl: the operators' command-line tool.
#include "observe/ctl/run.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

using namespace bergamotusher;
using namespace bergamotusher::ctl;

namespace
{

std::optional<std::string> variable(const char* name)
{
    const char* value = std::getenv(name);
    if (value == nullptr)
        return std::nullopt;
    return value;
}

std::string random_key()
{
    constexpr int words = 4;
    std::random_device random;
    std::ostringstream key;
    for (int i = 0; i < words; ++i)
        key << std::hex << random();
    return key.str();
}

bool pause_for(duration span)
{
    std::this_thread::sleep_for(span);
    return true;
}

/// The first line of the token file; empty without one.
std::optional<std::string> read_token(const std::string& path)
{
    std::string token;
    if (path.empty())
        return token;
    std::ifstream file(path);
    if (!std::getline(file, token))
        return std::nullopt;
    return token;
}

exit_code carry_out(arguments& asked)
{
    const auto token = read_token(asked.token_file);
    if (!token)
    {
        std::cerr << "bergamotctl: --token-file " << asked.token_file
                  << ": cannot be read\n";
        return exit_code::usage;
    }
    if (asked.idempotency_key.empty())
        asked.idempotency_key = random_key();
    const auto attempt = [&asked](const endpoint& to, const http_request& what)
    {
        return send(to, what, asked.timeout);
    };
    const surroundings world{
        std::cin, std::cout, std::cerr, attempt, pause_for, *token};
    return run(asked, world);
}

} // namespace

int main(int argc, char** argv)
{
    auto parsed = parse_arguments({argv + 1, argv + argc}, variable);
    if (const auto* shown = std::get_if<information>(&parsed))
    {
        std::cout << shown->text;
        return static_cast<int>(exit_code::done);
    }
    if (const auto* wrong = std::get_if<usage_error>(&parsed))
    {
        std::cerr << "bergamotctl: " << wrong->detail << '\n';
        return static_cast<int>(exit_code::usage);
    }
    return static_cast<int>(carry_out(std::get<arguments>(parsed)));
}
