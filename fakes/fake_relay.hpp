// TCP relay that can silence, cut, delay, throttle or cut into pieces what runs
// through it. Otherwise the end of one side's half, and a reset, pass as what
// they are.
#ifndef AUBURNLB_FAKES_FAKE_RELAY_HPP
#define AUBURNLB_FAKES_FAKE_RELAY_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "auburnlb/state/clock.hpp"

namespace auburnlb::fakes
{

/// Connections that a relay has carried, by their present condition.
struct relay_counts
{
    std::size_t open_ = 0;
    /// Held open, with nothing forwarded any more.
    std::size_t silent_ = 0;
};

/// A client whose connection the target did not take.
struct refused_client
{
    std::uint16_t port_ = 0;
    /// By the monotonic clock.
    time_point at_;
};

/// Thread-safe. Listens on 127.0.0.1.
class fake_relay
{
public:
    /// Port zero takes a free one; the target is "HOST:PORT" with an IP
    /// number. Throws std::exception on a bad target or a port that is taken.
    fake_relay(std::uint16_t port, std::string const& target);
    ~fake_relay();

    std::uint16_t port() const;
    /// Holds the open connections and forwards nothing more on them; new
    /// connections work.
    void silence();
    /// Like silence(), and new connections are silent too until heal().
    void isolate();
    /// Lets new connections work again; silent ones stay silent.
    void heal();
    /// Answers on open and on new connections get lost until heal(); what is
    /// sent to the target still arrives. Connections that lost an answer stay
    /// as they are.
    void lose_answers();
    /// Closes all open connections; new ones work.
    void cut();
    /// Like cut(), by a reset.
    void reset();
    /// Delays every byte in each direction.
    void set_delay(milliseconds delay);
    /// Limits each direction of each connection; zero for no limit.
    void set_rate(std::uint64_t bytes_per_second);
    /// Cuts what passes into pieces with a pause between them; zero bytes for
    /// as it comes.
    void set_pieces(std::size_t bytes, milliseconds pause);
    relay_counts counts() const;
    std::vector<refused_client> refused() const;

    /// Relays new connections to another target.
    void set_target(std::string const& target);

    /// Runs a command: "silence", "isolate", "lose", "heal", "cut",
    /// "reset", "delay MS", "rate BYTES_PER_S", "pieces BYTES PAUSE_MS" or "to
    /// HOST:PORT". False when it is none of them.
    bool run_command(std::string const& line);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace auburnlb::fakes

#endif
