// bergamotctl: the operators' command-line tool for the administration API.
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

std::optional<std::string> read_environment(const char* name)
{
    const char* value = std::getenv(name);
    if (value == nullptr)
        return std::nullopt;
    return value;
}

std::string make_idempotency_key()
{
    constexpr int word_count = 4;
    std::random_device random;
    std::ostringstream key;
    for (int i = 0; i < word_count; ++i)
        key << std::hex << random();
    return key.str();
}

bool sleep_and_continue(duration span)
{
    std::this_thread::sleep_for(span);
    return true;
}

/// The first line of the token file; empty if `path` is empty, `std::nullopt`
/// if the file cannot be read.
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

exit_code run_command(arguments& args)
{
    const auto token = read_token(args.token_file);
    if (!token)
    {
        std::cerr << "bergamotctl: --token-file " << args.token_file
                  << ": cannot be read\n";
        return exit_code::usage;
    }
    if (args.idempotency_key.empty())
        args.idempotency_key = make_idempotency_key();
    const auto send_request =
        [&args](const endpoint& to, const http_request& request)
    {
        return send(to, request, args.timeout);
    };
    const command_context context{
        std::cin,
        std::cout,
        std::cerr,
        send_request,
        sleep_and_continue,
        *token};
    return run(args, context);
}

} // namespace

int main(int argc, char** argv)
{
    auto parsed = parse_arguments({argv + 1, argv + argc}, read_environment);
    if (const auto* message = std::get_if<information>(&parsed))
    {
        std::cout << message->text;
        return static_cast<int>(exit_code::success);
    }
    if (const auto* error = std::get_if<usage_error>(&parsed))
    {
        std::cerr << "bergamotctl: " << error->detail << '\n';
        return static_cast<int>(exit_code::usage);
    }
    return static_cast<int>(run_command(std::get<arguments>(parsed)));
}
