// Properties of spreading over a network that loses, doubles and reorders.
#include <algorithm>
#include <optional>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "auburnlb/coordination/config_distribution.hpp"

using namespace auburnlb;

namespace
{

constexpr milliseconds step_time{50};

enum class packet_kind
{
    show,
    reply,
    ask,
    push,
};

struct packet
{
    packet_kind kind_;
    std::size_t from_;
    std::size_t to_;
    version_map versions_{};
    std::vector<std::string> services_{};
    config_texts configs_{};
};

struct node
{
    distribution_state state_;
    bool is_running_ = true;
    /// Cut off from the platform and from the nodes of the other side.
    bool is_cut_off_ = false;
    bool is_watching_ = false;
    version_map in_force_;
};

// Nodes, a platform and the messages between them, all driven by one test.
class spread_network
{
public:
    explicit spread_network(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            nodes_.emplace_back();
            start(index);
        }
    }

    void start(std::size_t index)
    {
        node fresh;
        fresh.state_.self_ = member(index);
        fresh.is_cut_off_ = nodes_[index].is_cut_off_;
        nodes_[index] = std::move(fresh);
    }

    void set_platform_down(bool is_down) { is_platform_down_ = is_down; }
    void stop(std::size_t index) { nodes_[index].is_running_ = false; }
    void cut_off(std::size_t index, bool is_cut)
    {
        nodes_[index].is_cut_off_ = is_cut;
    }

    void accept(std::string const& service)
    {
        ++last_version_;
        earlier_.push_back(platform_);
        platform_[service] = {last_version_, std::to_string(last_version_)};
    }

    // An answer of the platform that was long on its way.
    void read_late(std::size_t index, std::size_t age)
    {
        node& reader = nodes_[index];
        if (reader.is_running_ && !earlier_.empty())
        {
            act(index,
                on_platform_configs(reader.state_,
                                    earlier_[age % earlier_.size()], now_));
        }
    }

    void stop_watchers()
    {
        for (node& each : nodes_)
        {
            each.is_running_ = each.is_running_ && !each.is_watching_;
        }
    }

    // Tells one node of the running ones, as its lagging list would.
    void show_members(std::size_t index)
    {
        std::vector<distribution_member> members;
        for (std::size_t other = 0; other < nodes_.size(); ++other)
        {
            if (nodes_[other].is_running_)
            {
                members.push_back(member(other));
            }
        }
        act(index, on_members(nodes_[index].state_, members, now_));
    }

    void read_platform(std::size_t index)
    {
        node& reader = nodes_[index];
        bool const is_reachable = !reader.is_cut_off_ && !is_platform_down_;
        if (reader.is_running_ && reader.is_watching_ && is_reachable)
        {
            act(index, on_platform_configs(reader.state_, platform_, now_));
        }
    }

    void tick(std::size_t index)
    {
        if (nodes_[index].is_running_)
        {
            act(index, on_distribution_tick(nodes_[index].state_, now_));
        }
    }

    void advance() { now_ += step_time; }

    void lose(std::size_t which)
    {
        if (!packets_.empty())
        {
            packets_.erase(packets_.begin() + static_cast<std::ptrdiff_t>(
                                                  which % packets_.size()));
        }
    }

    void deliver(std::size_t which, bool is_doubled)
    {
        if (packets_.empty())
        {
            return;
        }
        packet const taken = packets_[which % packets_.size()];
        if (!is_doubled)
        {
            lose(which);
        }
        node const& from = nodes_[taken.from_];
        node& to = nodes_[taken.to_];
        bool const is_reachable =
            to.is_running_ && from.is_cut_off_ == to.is_cut_off_;
        if (is_reachable)
        {
            act(taken.to_, handle(to.state_, taken));
        }
    }

    // Everything works again.
    std::optional<milliseconds> heal()
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index)
        {
            nodes_[index].is_cut_off_ = false;
            if (!nodes_[index].is_running_)
            {
                start(index);
            }
        }
        return converge();
    }

    // Time until all running nodes have what was accepted.
    std::optional<milliseconds> converge()
    {
        time_point const begin = now_;
        for (int step = 0; step < 400; ++step)
        {
            if (has_all())
            {
                return std::chrono::duration_cast<milliseconds>(now_ - begin);
            }
            for (std::size_t index = 0; index < nodes_.size(); ++index)
            {
                if (nodes_[index].is_running_)
                {
                    show_members(index);
                }
                read_platform(index);
                tick(index);
            }
            // One hop takes one step.
            for (std::size_t left = packets_.size(); left > 0; --left)
            {
                deliver(0, false);
            }
            advance();
        }
        return std::nullopt;
    }

    std::size_t watchers(std::string const& data_centre) const
    {
        return static_cast<std::size_t>(std::count_if(
            nodes_.begin(), nodes_.end(),
            [&](node const& each)
            {
                return each.is_watching_ &&
                       each.state_.self_.data_centre_ == data_centre;
            }));
    }

    std::size_t sent() const { return sent_; }
    std::size_t texts_sent() const { return texts_sent_; }
    std::size_t size() const { return nodes_.size(); }

private:
    static distribution_member member(std::size_t index)
    {
        return {"tcp://10.0.0." + std::to_string(index),
                index % 3 == 0 ? "Surat" : "Rajkot"};
    }

    std::size_t index_of(std::string const& address) const
    {
        return std::stoul(address.substr(address.rfind('.') + 1));
    }

    bool has_all() const
    {
        return std::all_of(nodes_.begin(), nodes_.end(),
                           [&](node const& each) {
                               return !each.is_running_ ||
                                      each.state_.services_ == platform_;
                           });
    }

    distribution_actions handle(distribution_state& state, packet const& taken)
    {
        std::string const peer = member(taken.from_).address_;
        switch (taken.kind_)
        {
        case packet_kind::show:
            send({packet_kind::reply, taken.to_, taken.from_,
                  versions_in_force(state)});
            return on_peer_versions(state, peer, taken.versions_, now_);
        case packet_kind::reply:
            return on_peer_versions(state, peer, taken.versions_, now_);
        case packet_kind::ask:
            return on_config_request(state, peer, taken.services_);
        case packet_kind::push:
            return on_config_push(state, taken.configs_, now_);
        }
        return {};
    }

    void send(packet sent)
    {
        ++sent_;
        texts_sent_ += sent.kind_ == packet_kind::push;
        packets_.push_back(std::move(sent));
    }

    void act(std::size_t self, distribution_actions const& actions)
    {
        for (distribution_action const& action : actions)
        {
            if (auto const* ask = std::get_if<request_configs>(&action))
            {
                send({packet_kind::ask,
                      self,
                      index_of(ask->address_),
                      {},
                      ask->services_});
            }
            else if (auto const* show = std::get_if<announce_versions>(&action))
            {
                send({packet_kind::show, self, index_of(show->address_),
                      versions_in_force(nodes_[self].state_)});
            }
            else if (auto const* push = std::get_if<send_configs>(&action))
            {
                send({packet_kind::push,
                      self,
                      index_of(push->address_),
                      {},
                      {},
                      push->services_});
            }
            else if (auto const* watch = std::get_if<set_watching>(&action))
            {
                nodes_[self].is_watching_ = watch->is_watching_;
            }
            else
            {
                publish(self, std::get<publish_config>(action));
            }
        }
    }

    void publish(std::size_t self, publish_config const& config)
    {
        std::uint64_t& version = nodes_[self].in_force_[config.service_];
        RC_ASSERT(config.version_ > version);
        RC_ASSERT(config.version_ <= platform_[config.service_].first);
        version = config.version_;
    }

    std::vector<node> nodes_;
    config_texts platform_;
    std::vector<config_texts> earlier_;
    std::uint64_t last_version_ = 0;
    std::vector<packet> packets_;
    std::size_t sent_ = 0;
    std::size_t texts_sent_ = 0;
    time_point now_{seconds(1)};
    bool is_platform_down_ = false;
};

void disturb(spread_network& network, std::uint32_t step)
{
    std::size_t const index = step / 16 % network.size();
    switch (step % 16)
    {
    case 0:
        network.accept(index % 2 == 0 ? "kalai-writer" : "counter-app");
        break;
    case 1:
        network.stop(index);
        break;
    case 2:
        network.start(index);
        break;
    case 3:
        network.cut_off(index, step / 1'024 % 2 == 0);
        break;
    case 4:
        network.lose(step / 16);
        break;
    case 5:
        network.deliver(step / 16, true);
        break;
    case 6:
    case 7:
        network.show_members(index);
        break;
    case 8:
        network.read_late(index, step / 1'024);
        break;
    case 9:
        network.read_platform(index);
        break;
    case 10:
        network.advance();
        break;
    case 11:
        network.tick(index);
        break;
    default:
        network.deliver(step / 16, false);
    }
}

} // namespace

RC_GTEST_PROP(config_spread, accepted_is_in_force_after_healing_and_never_falls,
              ())
{
    spread_network network(*rc::gen::inRange<std::size_t>(1, 24));
    auto const steps =
        *rc::gen::resize(400, rc::gen::container<std::vector<std::uint32_t>>(
                                  rc::gen::arbitrary<std::uint32_t>()));
    for (std::uint32_t const step : steps)
    {
        disturb(network, step);
    }
    auto const time = network.heal();
    RC_ASSERT(time.has_value());
    RC_ASSERT(*time <= milliseconds(3'000));
}

TEST(config_spread, a_change_reaches_two_hundred_processes_in_few_hops)
{
    spread_network network(200);
    network.accept("kalai-writer");
    ASSERT_TRUE(network.heal());
    EXPECT_EQ(network.watchers("Surat"), 2U);
    EXPECT_EQ(network.watchers("Rajkot"), 2U);
    std::size_t const sent = network.sent();
    std::size_t const texts = network.texts_sent();
    network.accept("kalai-writer");
    auto const time = network.heal();
    ASSERT_TRUE(time);
    // Four levels, each of which is shown, asks and is answered.
    EXPECT_LE(*time, 14 * step_time);
    // Each process takes the text once, and is shown it by two parents.
    EXPECT_LE(network.texts_sent() - texts, 200U + 20U);
    RecordProperty("ms", static_cast<int>(time->count()));
    RecordProperty("texts", static_cast<int>(network.texts_sent() - texts));
    RecordProperty("messages", static_cast<int>(network.sent() - sent));
}

TEST(config_spread, a_newer_frame_makes_ask_at_once_and_an_older_one_show)
{
    distribution_state state;
    state.services_["s"] = {5, "five"};
    time_point const now{seconds(1)};
    EXPECT_EQ(on_frame_version(state, "p", "s", 6, now),
              distribution_actions{(request_configs{"p", {"s"}})});
    EXPECT_TRUE(on_frame_version(state, "p", "s", 6, now).empty());
    EXPECT_EQ(on_frame_version(state, "p", "s", 6, now + milliseconds(300)),
              distribution_actions{(request_configs{"p", {"s"}})});
    EXPECT_EQ(on_frame_version(state, "p", "s", 4, now),
              distribution_actions{announce_versions{"p"}});
    EXPECT_TRUE(on_frame_version(state, "p", "s", 5, now).empty());
}

TEST(config_spread, newcomers_during_an_outage_take_the_highest_of_their_peers)
{
    spread_network network(12);
    network.accept("kalai-writer");
    network.accept("counter-app");
    ASSERT_TRUE(network.heal());
    network.set_platform_down(true);
    for (std::size_t index = 0; index < 11; ++index)
    {
        network.stop(index);
    }
    EXPECT_TRUE(network.heal());
}

TEST(config_spread, others_watch_when_the_watchers_die)
{
    spread_network network(12);
    network.accept("kalai-writer");
    ASSERT_TRUE(network.heal());
    network.stop_watchers();
    network.accept("kalai-writer");
    EXPECT_TRUE(network.converge());
}
