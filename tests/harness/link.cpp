#include "harness/link.hpp"

#include "settings/settings.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <stdexcept>
#include <thread>

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

// One direction of one connection.
class direction : public std::enable_shared_from_this<direction>
{
public:
    direction(
        asio::io_context& loop,
        std::shared_ptr<tcp::socket> from,
        std::shared_ptr<tcp::socket> to,
        const std::atomic<bool>& is_cut)
        : from_(std::move(from))
        , to_(std::move(to))
        , is_cut_(is_cut)
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
                self->pass_on();
            });
    }

private:
    void pass_on()
    {
        if (is_cut_)
        {
            timer_.expires_after(cut_poll);
            timer_.async_wait(
                [self = shared_from_this()](boost_error error)
                {
                    if (!error)
                        self->pass_on();
                });
            return;
        }
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
    const std::atomic<bool>& is_cut_;
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
                std::make_shared<direction>(loop, near, far, is_cut)->run();
                std::make_shared<direction>(loop, far, near, is_cut)->run();
            });
    }

    asio::io_context loop;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    std::atomic<bool> is_cut{false};
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
    state_->is_cut = true;
}

void link::mend()
{
    state_->is_cut = false;
}

} // namespace bergamotusher::tests
