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

constexpr auto cut_poll_interval = std::chrono::milliseconds(10);

tcp::endpoint to_endpoint(const std::string& address)
{
    const auto parsed = parse_endpoint(address);
    if (!parsed)
        throw std::runtime_error("link address is not IP:PORT: " + address);
    return {asio::ip::make_address(parsed->ip), parsed->port};
}

// The faults injected into one direction of all connections. Set by the thread
// of the test, read by the thread of the link.
struct direction_faults
{
    std::atomic<bool> is_cut{false};
    std::atomic<int> delay_ms{0};
};

// Forwards the data of one direction of one connection, a block at a time.
class direction : public std::enable_shared_from_this<direction>
{
public:
    direction(
        asio::io_context& loop,
        std::shared_ptr<tcp::socket> from,
        std::shared_ptr<tcp::socket> to,
        const direction_faults& faults)
        : from_(std::move(from))
        , to_(std::move(to))
        , faults_(faults)
        , timer_(loop)
    {
    }

    void read_block()
    {
        from_->async_read_some(
            asio::buffer(block_),
            [self = shared_from_this()](boost_error error, std::size_t size)
            {
                if (error)
                    return self->close();
                self->block_size_ = size;
                const int delay = self->faults_.delay_ms;
                if (delay > 0)
                    self->forward_after(std::chrono::milliseconds(delay));
                else
                    self->forward_block();
            });
    }

    void silence()
    {
        is_silent_ = true;
    }

    // Closes the connection with RST: with a linger time of zero, close
    // discards the unsent data.
    void reset()
    {
        boost_error ignored;
        from_->set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

private:
    void forward_after(std::chrono::milliseconds delay)
    {
        timer_.expires_after(delay);
        timer_.async_wait(
            [self = shared_from_this()](boost_error error)
            {
                if (!error)
                    self->forward_block();
            });
    }

    // Writes the block, or checks again after `cut_poll_interval` while the
    // direction is cut.
    void forward_block()
    {
        if (faults_.is_cut || is_silent_)
            return forward_after(cut_poll_interval);
        asio::async_write(
            *to_,
            asio::buffer(block_.data(), block_size_),
            [self = shared_from_this()](boost_error error, std::size_t)
            { error ? self->close() : self->read_block(); });
    }

    void close()
    {
        boost_error ignored;
        from_->close(ignored);
        to_->close(ignored);
    }

    std::shared_ptr<tcp::socket> from_;
    std::shared_ptr<tcp::socket> to_;
    const direction_faults& faults_;
    bool is_silent_ = false;
    asio::steady_timer timer_;
    std::array<char, 16384> block_{};
    std::size_t block_size_ = 0;
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
                    connect_far_side(
                        std::make_shared<tcp::socket>(std::move(socket)));
                accept();
            });
    }

    // Connects to the target on behalf of the connection `near`.
    void connect_far_side(const std::shared_ptr<tcp::socket>& near)
    {
        auto far = std::make_shared<tcp::socket>(loop);
        far->async_connect(
            target,
            [this, near, far](boost_error error)
            {
                if (error)
                    return near->close();
                start_direction(near, far, to_far_faults);
                start_direction(far, near, to_near_faults);
            });
    }

    void start_direction(
        const std::shared_ptr<tcp::socket>& from,
        const std::shared_ptr<tcp::socket>& to,
        const direction_faults& faults)
    {
        const auto created =
            std::make_shared<direction>(loop, from, to, faults);
        open_directions.erase(
            std::remove_if(
                open_directions.begin(),
                open_directions.end(),
                [](const auto& candidate) { return candidate.expired(); }),
            open_directions.end());
        open_directions.push_back(created);
        created->read_block();
    }

    // Runs `action` for all open directions, on the thread of the link.
    template<class Action>
    void for_each_open(Action action)
    {
        asio::post(
            loop,
            [this, action]
            {
                for (const auto& candidate : open_directions)
                    if (const auto active = candidate.lock())
                        action(*active);
            });
    }

    asio::io_context loop;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    direction_faults to_far_faults;
    direction_faults to_near_faults;
    std::vector<std::weak_ptr<direction>> open_directions;
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
    state_->to_far_faults.is_cut = true;
    state_->to_near_faults.is_cut = true;
}

void link::cut_one_way(bool to_far_side)
{
    (to_far_side ? state_->to_far_faults : state_->to_near_faults).is_cut =
        true;
}

void link::slow_down(std::chrono::milliseconds by)
{
    state_->to_far_faults.delay_ms = static_cast<int>(by.count());
    state_->to_near_faults.delay_ms = static_cast<int>(by.count());
}

void link::mend()
{
    for (direction_faults* faults :
         {&state_->to_far_faults, &state_->to_near_faults})
    {
        faults->is_cut = false;
        faults->delay_ms = 0;
    }
}

void link::reset()
{
    state_->for_each_open([](direction& active) { active.reset(); });
}

void link::silence()
{
    state_->for_each_open([](direction& active) { active.silence(); });
}

} // namespace bergamotusher::tests
