// TCP relay over Asio, on one thread.
#include "fake_relay.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <future>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <asio.hpp>

namespace auburnlb::fakes
{

namespace
{

using asio::ip::tcp;

constexpr std::size_t chunk_bytes = 16U << 10U;
/// Reading stops while so many bytes wait, so that the sender feels the limit.
constexpr std::size_t max_waiting_bytes = 256U << 10U;

/// What applies to every connection; read and written on the relay's thread.
struct relay_condition
{
    milliseconds delay_{0};
    std::uint64_t bytes_per_second_ = 0;
    bool is_isolated_ = false;
    bool loses_answers_ = false;
};

struct delayed_chunk
{
    time_point due_;
    std::string bytes_;
};

/// Both directions of one connection.
class session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket client, relay_condition const& condition)
        : condition_(condition)
        , client_(std::move(client))
        , server_(client_.get_executor())
        , upstream_{client_, server_, client_.get_executor()}
        , downstream_{server_, client_, client_.get_executor()}
    {
    }

    void start(tcp::endpoint const& target)
    {
        is_silent_ = condition_.is_isolated_;
        loses_answers_ = condition_.loses_answers_;
        if (is_silent_)
        {
            return;
        }
        server_.async_connect(
            target, [self = shared_from_this()](asio::error_code error)
            { self->on_connected(error); });
    }

    bool is_open() const { return client_.is_open(); }
    bool is_silent() const { return is_silent_; }

    void silence() { is_silent_ = true; }
    void lose_answers() { loses_answers_ = true; }

    /// Closes with a reset instead of an orderly end.
    void reset()
    {
        asio::error_code ignored;
        asio::socket_base::linger const at_once(true, 0);
        client_.set_option(at_once, ignored);
        server_.set_option(at_once, ignored);
        close();
    }

    void close()
    {
        asio::error_code ignored;
        client_.close(ignored);
        server_.close(ignored);
        upstream_.timer_.cancel();
        downstream_.timer_.cancel();
    }

private:
    struct direction
    {
        tcp::socket& from_;
        tcp::socket& to_;
        asio::steady_timer timer_;
        std::array<char, chunk_bytes> buffer_{};
        std::deque<delayed_chunk> waiting_{};
        std::size_t waiting_bytes_ = 0;
        bool is_reading_ = false;
        bool is_writing_ = false;
        bool is_ended_ = false;
        /// When the rate lets the next byte through.
        time_point next_free_{};

        direction(tcp::socket& from, tcp::socket& to,
                  tcp::socket::executor_type const& executor)
            : from_(from)
            , to_(to)
            , timer_(executor)
        {
        }
    };

    void on_connected(asio::error_code error)
    {
        if (error)
        {
            close();
            return;
        }
        asio::error_code ignored;
        client_.set_option(tcp::no_delay(true), ignored);
        server_.set_option(tcp::no_delay(true), ignored);
        read(upstream_);
        read(downstream_);
    }

    void read(direction& way)
    {
        if (is_silent_ || way.is_reading_ || way.is_ended_ ||
            way.waiting_bytes_ >= max_waiting_bytes)
        {
            return;
        }
        way.is_reading_ = true;
        way.from_.async_read_some(asio::buffer(way.buffer_),
                                  [self = shared_from_this(), &way](
                                      asio::error_code error, std::size_t bytes)
                                  { self->on_read(way, error, bytes); });
    }

    void on_read(direction& way, asio::error_code error, std::size_t bytes)
    {
        way.is_reading_ = false;
        if (is_silent_)
        {
            return;
        }
        if (loses_answers_ && &way == &downstream_)
        {
            // The end of the connection gets lost like its bytes.
            way.is_ended_ = static_cast<bool>(error);
            read(way);
            return;
        }
        if (error)
        {
            way.is_ended_ = true;
            close_when_drained(way);
            return;
        }
        way.waiting_.push_back(
            {due_time(way, bytes), std::string(way.buffer_.data(), bytes)});
        way.waiting_bytes_ += bytes;
        write_next(way);
        read(way);
    }

    time_point due_time(direction& way, std::size_t bytes) const
    {
        auto const now = std::chrono::steady_clock::now();
        auto due = now;
        if (condition_.bytes_per_second_ != 0)
        {
            double const seconds_taken =
                static_cast<double>(bytes) /
                static_cast<double>(condition_.bytes_per_second_);
            due = std::max(now, way.next_free_) +
                  std::chrono::duration_cast<nanoseconds>(
                      std::chrono::duration<double>(seconds_taken));
            way.next_free_ = due;
        }
        return due + condition_.delay_;
    }

    void write_next(direction& way)
    {
        if (way.is_writing_ || way.waiting_.empty())
        {
            return;
        }
        way.is_writing_ = true;
        way.timer_.expires_at(way.waiting_.front().due_);
        way.timer_.async_wait([self = shared_from_this(), &way](
                                  asio::error_code) { self->write_now(way); });
    }

    void write_now(direction& way)
    {
        if (is_silent_ || !way.to_.is_open())
        {
            return;
        }
        asio::async_write(way.to_, asio::buffer(way.waiting_.front().bytes_),
                          [self = shared_from_this(),
                           &way](asio::error_code error, std::size_t)
                          { self->on_written(way, error); });
    }

    void on_written(direction& way, asio::error_code error)
    {
        way.is_writing_ = false;
        if (error)
        {
            // A silent connection is held, whatever its ends do.
            if (!is_silent_)
            {
                close();
            }
            return;
        }
        way.waiting_bytes_ -= way.waiting_.front().bytes_.size();
        way.waiting_.pop_front();
        write_next(way);
        read(way);
        if (way.is_ended_)
        {
            close_when_drained(way);
        }
    }

    void close_when_drained(direction& way)
    {
        if (way.waiting_.empty())
        {
            close();
        }
    }

    relay_condition const& condition_;
    tcp::socket client_;
    tcp::socket server_;
    direction upstream_;
    direction downstream_;
    bool is_silent_ = false;
    bool loses_answers_ = false;
};

tcp::endpoint parse_target(std::string const& target)
{
    auto const colon = target.rfind(':');
    if (colon == std::string::npos)
    {
        throw std::invalid_argument("target \"" + target +
                                    "\" is not of the form HOST:PORT");
    }
    auto const port = std::stoul(target.substr(colon + 1));
    return {asio::ip::make_address(target.substr(0, colon)),
            static_cast<std::uint16_t>(port)};
}

/// False when the next word is no target.
bool run_target_command(fake_relay& relay, std::istream& words)
try
{
    std::string target;
    words >> target;
    relay.set_target(target);
    return true;
}
catch (std::exception const&)
{
    return false;
}

} // namespace

struct fake_relay::impl
{
    asio::io_context context_{1};
    tcp::endpoint target_;
    tcp::acceptor acceptor_;
    relay_condition condition_;
    std::set<std::shared_ptr<session>> sessions_;
    std::thread thread_;

    impl(std::uint16_t port, std::string const& target);
    ~impl();
    void accept();
    void forget_closed();
    /// Runs a function on the relay's thread and waits for it.
    template <class Function>
    void run(Function function);
};

fake_relay::impl::impl(std::uint16_t port, std::string const& target)
    : target_(parse_target(target))
    , acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), port))
{
    accept();
    thread_ = std::thread([this] { context_.run(); });
}

fake_relay::impl::~impl()
{
    context_.stop();
    thread_.join();
    for (auto const& open : sessions_)
    {
        open->close();
    }
}

void fake_relay::impl::accept()
{
    acceptor_.async_accept(
        [this](asio::error_code error, tcp::socket client)
        {
            if (!error)
            {
                forget_closed();
                auto next =
                    std::make_shared<session>(std::move(client), condition_);
                sessions_.insert(next);
                next->start(target_);
            }
            accept();
        });
}

void fake_relay::impl::forget_closed()
{
    std::erase_if(sessions_, [](auto const& held) { return !held->is_open(); });
}

template <class Function>
void fake_relay::impl::run(Function function)
{
    std::promise<void> done;
    asio::post(context_,
               [&]
               {
                   function();
                   done.set_value();
               });
    done.get_future().wait();
}

fake_relay::fake_relay(std::uint16_t port, std::string const& target)
    : impl_(std::make_unique<impl>(port, target))
{
}

fake_relay::~fake_relay() = default;

std::uint16_t fake_relay::port() const
{
    return impl_->acceptor_.local_endpoint().port();
}

void fake_relay::silence()
{
    impl_->run(
        [this]
        {
            for (auto const& open : impl_->sessions_)
            {
                open->silence();
            }
        });
}

void fake_relay::isolate()
{
    impl_->run([this] { impl_->condition_.is_isolated_ = true; });
    silence();
}

void fake_relay::heal()
{
    impl_->run(
        [this]
        {
            impl_->condition_.is_isolated_ = false;
            impl_->condition_.loses_answers_ = false;
        });
}

void fake_relay::lose_answers()
{
    impl_->run(
        [this]
        {
            impl_->condition_.loses_answers_ = true;
            for (auto const& open : impl_->sessions_)
            {
                open->lose_answers();
            }
        });
}

void fake_relay::reset()
{
    impl_->run(
        [this]
        {
            for (auto const& open : impl_->sessions_)
            {
                open->reset();
            }
            impl_->sessions_.clear();
        });
}

void fake_relay::cut()
{
    impl_->run(
        [this]
        {
            for (auto const& open : impl_->sessions_)
            {
                open->close();
            }
            impl_->sessions_.clear();
        });
}

void fake_relay::set_delay(milliseconds delay)
{
    impl_->run([this, delay] { impl_->condition_.delay_ = delay; });
}

void fake_relay::set_rate(std::uint64_t bytes_per_second)
{
    impl_->run([this, bytes_per_second]
               { impl_->condition_.bytes_per_second_ = bytes_per_second; });
}

void fake_relay::set_target(std::string const& target)
{
    tcp::endpoint const parsed = parse_target(target);
    impl_->run([this, parsed] { impl_->target_ = parsed; });
}

relay_counts fake_relay::counts() const
{
    relay_counts counts;
    impl_->run(
        [&]
        {
            impl_->forget_closed();
            for (auto const& held : impl_->sessions_)
            {
                counts.silent_ += held->is_silent() ? 1 : 0;
            }
            counts.open_ = impl_->sessions_.size();
        });
    return counts;
}

bool fake_relay::run_command(std::string const& line)
{
    std::istringstream words(line);
    std::string verb;
    words >> verb;
    if (verb == "to")
    {
        return run_target_command(*this, words);
    }
    std::uint64_t number = 0;
    bool const has_number = static_cast<bool>(words >> number);
    if (verb == "delay" && has_number)
    {
        set_delay(milliseconds(number));
    }
    else if (verb == "rate" && has_number)
    {
        set_rate(number);
    }
    else if (verb == "silence")
    {
        silence();
    }
    else if (verb == "isolate")
    {
        isolate();
    }
    else if (verb == "heal")
    {
        heal();
    }
    else if (verb == "lose")
    {
        lose_answers();
    }
    else if (verb == "cut")
    {
        cut();
    }
    else if (verb == "reset")
    {
        reset();
    }
    else
    {
        return false;
    }
    return true;
}

} // namespace auburnlb::fakes
