// TCP relay over Asio, on one thread.
#include "fake_relay.hpp"

#include <future>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <asio.hpp>

#include "relay_session.hpp"

namespace auburnlb::fakes
{

namespace
{

using asio::ip::tcp;

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
    std::set<std::shared_ptr<relay_session>> sessions_;
    std::vector<refused_client> refused_;
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
                auto next = std::make_shared<relay_session>(
                    std::move(client), condition_,
                    [this](std::uint16_t port) {
                        refused_.push_back(
                            {port, std::chrono::steady_clock::now()});
                    });
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

void fake_relay::set_pieces(std::size_t bytes, milliseconds pause)
{
    impl_->run(
        [this, bytes, pause]
        {
            impl_->condition_.piece_bytes_ = bytes;
            impl_->condition_.piece_pause_ = pause;
        });
}

std::vector<refused_client> fake_relay::refused() const
{
    std::vector<refused_client> refused;
    impl_->run([&] { refused = impl_->refused_; });
    return refused;
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
    else if (std::uint64_t pause = 0;
             verb == "pieces" && has_number && words >> pause)
    {
        set_pieces(number, milliseconds(pause));
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
