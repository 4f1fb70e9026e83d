#include "harness/link.hpp"

#include "settings/settings.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <stdexcept>
#include <thread>
#include <vector>

namespace bergamotusher::tests
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost_error = boost::system::error_code;

namespace
{

constexpr auto cut_poll = std::chrono::milliseconds(10);

tcp::endpoint to_endpoint(const std::string& address)
{
    const auto parsed = parse_endpoint(address);
    if (!parsed)
        throw std::runtime_error("not IP:PORT: " + address);
    return {asio::ip::make_address(parsed->ip), parsed->port};
}

// What is done to the bytes of one way.
struct harm
{
    std::atomic<bool> is_cut{false};
    std::atomic<int> delay_ms{0};
};

// One direction of one connection.
class direction : public std::enable_shared_from_this<direction>
{
public:
    direction(
        asio::io_context& loop,
        std::shared_ptr<tcp::socket> from,
        std::shared_ptr<tcp::socket> to,
        const harm& harmed)
        : from_(std::move(from))
        , to_(std::move(to))
        , harm_(harmed)
        , timer_(loop)
    {
    }

    void run()
    {
        from_->async_read_some(
            asio::buffer(bytes_),
            [self = shared_from_this()](boost_error error, std::size_t size)
            {
                if (error)
                    return self->close();
                self->size_ = size;
                const int delay = self->harm_.delay_ms;
                if (delay > 0)
                    self->wait(std::chrono::milliseconds(delay));
                else
                    self->pass_on();
            });
    }

    void silence()
    {
        is_silent_ = true;
    }

    void reset()
    {
        boost_error ignored;
        from_->set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

private:
    void wait(std::chrono::milliseconds time)
    {
        timer_.expires_after(time);
        timer_.async_wait(
            [self = shared_from_this()](boost_error error)
            {
                if (!error)
                    self->pass_on();
            });
    }

    void pass_on()
    {
        if (harm_.is_cut || is_silent_)
            return wait(cut_poll);
        asio::async_write(
            *to_,
            asio::buffer(bytes_.data(), size_),
            [self = shared_from_this()](boost_error error, std::size_t)
            { error ? self->close() : self->run(); });
    }

    void close()
    {
        boost_error ignored;
        from_->close(ignored);
        to_->close(ignored);
    }

    std::shared_ptr<tcp::socket> from_;
    std::shared_ptr<tcp::socket> to_;
    const harm& harm_;
    bool is_silent_ = false;
    asio::steady_timer timer_;
    std::array<char, 16384> bytes_{};
    std::size_t size_ = 0;
};

} // namespace

struct link::state
{
    state(const std::string& from, const std::string& to)
        : acceptor(loop, to_endpoint(from)), target(to_endpoint(to))
    {
    }

    void accept()
    {
        acceptor.async_accept(
            [this](boost_error error, tcp::socket socket)
            {
                if (!error)
                    join(std::make_shared<tcp::socket>(std::move(socket)));
                accept();
            });
    }

    void join(const std::shared_ptr<tcp::socket>& near)
    {
        auto far = std::make_shared<tcp::socket>(loop);
        far->async_connect(
            target,
            [this, near, far](boost_error error)
            {
                if (error)
                    return near->close();
                begin(near, far, to_far);
                begin(far, near, to_near);
            });
    }

    void begin(
        const std::shared_ptr<tcp::socket>& from,
        const std::shared_ptr<tcp::socket>& to,
        const harm& harmed)
    {
        const auto made = std::make_shared<direction>(loop, from, to, harmed);
        open.erase(
            std::remove_if(
                open.begin(),
                open.end(),
                [](const auto& each) { return each.expired(); }),
            open.end());
        open.push_back(made);
        made->run();
    }

    // Runs `act` on all open directions, on the loop's thread.
    template<class Act>
    void each_open(Act act)
    {
        asio::post(
            loop,
            [this, act]
            {
                for (const auto& each : open)
                    if (const auto one = each.lock())
                        act(*one);
            });
    }

    asio::io_context loop;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    harm to_far;
    harm to_near;
    std::vector<std::weak_ptr<direction>> open;
    std::thread thread;
};

link::link(const std::string& from, const std::string& to)
    : state_(std::make_unique<state>(from, to))
{
    state_->accept();
    state_->thread = std::thread([this] { state_->loop.run(); });
}

link::~link()
{
    state_->loop.stop();
    state_->thread.join();
}

void link::cut()
{
    state_->to_far.is_cut = true;
    state_->to_near.is_cut = true;
}

void link::cut_one_way(bool to_far_side)
{
    (to_far_side ? state_->to_far : state_->to_near).is_cut = true;
}

void link::slow_down(std::chrono::milliseconds by)
{
    state_->to_far.delay_ms = static_cast<int>(by.count());
    state_->to_near.delay_ms = static_cast<int>(by.count());
}

void link::mend()
{
    for (harm* way : {&state_->to_far, &state_->to_near})
    {
        way->is_cut = false;
        way->delay_ms = 0;
    }
}

void link::reset()
{
    state_->each_open([](direction& one) { one.reset(); });
}

void link::silence()
{
    state_->each_open([](direction& one) { one.silence(); });
}

} // namespace bergamotusher::tests
