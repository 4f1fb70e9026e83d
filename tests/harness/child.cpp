#include "harness/child.hpp"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace bergamotusher::tests
{

namespace
{

constexpr auto poll_interval = std::chrono::milliseconds(5);

} // namespace

child::child(
    const std::string& program,
    const std::vector<std::string>& arguments,
    const std::string& log,
    std::vector<std::string> variables)
{
    std::vector<std::string> argument_list{program};
    argument_list.insert(
        argument_list.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(argument_list.size() + 1);
    for (std::string& text : argument_list)
        argv.push_back(text.data());
    argv.push_back(nullptr);
    for (char** inherited = environ; *inherited != nullptr; ++inherited)
        variables.emplace_back(*inherited);
    std::vector<char*> environment;
    environment.reserve(variables.size() + 1);
    for (std::string& text : variables)
        environment.push_back(text.data());
    environment.push_back(nullptr);
    posix_spawn_file_actions_t file_actions;
    posix_spawn_file_actions_init(&file_actions);
    posix_spawn_file_actions_addopen(
        &file_actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&file_actions, 1, 2);
    // A socket of the test that a child keeps open would hide its end from the
    // other side.
    constexpr int first_inherited_file = 3;
    posix_spawn_file_actions_addclosefrom_np(
        &file_actions, first_inherited_file);
    const int error = posix_spawn(
        &id_,
        program.c_str(),
        &file_actions,
        nullptr,
        argv.data(),
        environment.data());
    posix_spawn_file_actions_destroy(&file_actions);
    if (error != 0)
        throw std::runtime_error("cannot start the program " + program);
}

child::~child()
{
    kill();
}

child::child(child&& other) noexcept
    : id_(std::exchange(other.id_, -1)), status_(other.status_)
{
}

child& child::operator=(child&& other) noexcept
{
    if (this != &other)
    {
        kill();
        id_ = std::exchange(other.id_, -1);
        status_ = other.status_;
    }
    return *this;
}

void child::send(int signal)
{
    if (running())
        ::kill(id_, signal);
}

void child::kill()
{
    if (!running())
        return;
    ::kill(id_, SIGKILL);
    waitpid(id_, &status_, 0);
    id_ = -1;
}

bool child::running()
{
    if (id_ < 0)
        return false;
    if (waitpid(id_, &status_, WNOHANG) != id_)
        return true;
    id_ = -1;
    return false;
}

int child::wait(double seconds)
{
    const auto deadline = std::chrono::steady_clock::now() +
                          std::chrono::duration<double>(seconds);
    while (running())
    {
        if (std::chrono::steady_clock::now() > deadline)
            return -1;
        std::this_thread::sleep_for(poll_interval);
    }
    return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
}

} // namespace bergamotusher::tests
