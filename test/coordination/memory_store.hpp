// An in-memory object store whose calls wait until a test runs them, with
// injected faults such as lost responses and delayed effects.
#ifndef AUBURNLB_TEST_MEMORY_STORE_HPP
#define AUBURNLB_TEST_MEMORY_STORE_HPP

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "auburnlb/coordination/object_store.hpp"

namespace auburnlb::test
{

/// Outcome of one call.
enum class store_call_outcome
{
    succeeded,
    unreachable,
    response_lost,
    /// The response is lost, and the effect happens later.
    effect_delayed,
    request_lost,
};

inline error call_failure(error_code code)
{
    return {code, "call", "store", "injected by the test"};
}

class memory_store final : public object_store
{
public:
    void get(std::string const& kind, std::string const& name,
             handler<stored_object> handler) override
    {
        pending_.push_back(
            [=, this](store_call_outcome outcome) {
                respond(outcome, handler,
                        [=, this] { return find(kind, name); });
            });
    }

    void list(std::string const& kind, std::string const& prefix,
              handler<std::vector<stored_object>> handler) override
    {
        pending_.push_back(
            [=, this](store_call_outcome outcome) {
                respond(outcome, handler,
                        [=, this] { return find_all(kind, prefix); });
            });
    }

    void put(stored_object const& object, std::uint64_t expected_version,
             handler<std::uint64_t> handler) override
    {
        pending_.push_back(
            [=, this](store_call_outcome outcome)
            {
                respond(outcome, handler,
                        [=, this] { return write(object, expected_version); });
            });
    }

    void remove(std::string const& kind, std::string const& name,
                std::uint64_t expected_version,
                handler<std::uint64_t> handler) override
    {
        pending_.push_back(
            [=, this](store_call_outcome outcome)
            {
                respond(outcome, handler,
                        [=, this]() -> result<std::uint64_t>
                        {
                            if (find(kind, name).value().version_ !=
                                expected_version)
                            {
                                return call_failure(error_code::conflict);
                            }
                            objects_.erase({kind, name});
                            return ++version_;
                        });
            });
    }

    bool is_idle() const
    {
        return pending_.empty() && delayed_effects_.empty();
    }
    std::size_t pending() const { return pending_.size(); }

    /// Runs one of the pending calls.
    void run(std::size_t index, store_call_outcome outcome)
    {
        auto call = std::move(pending_[index % pending_.size()]);
        pending_.erase(pending_.begin() +
                       static_cast<std::ptrdiff_t>(index % pending_.size()));
        call(outcome);
    }

    /// Applies the oldest delayed effect, if there is one.
    void run_delayed_effect()
    {
        if (delayed_effects_.empty())
        {
            return;
        }
        auto effect = std::move(delayed_effects_.front());
        delayed_effects_.pop_front();
        effect();
    }

    /// Runs all calls and delayed effects without faults, including the calls
    /// that these start.
    void run_until_idle()
    {
        while (!is_idle())
        {
            run_delayed_effect();
            if (!pending_.empty())
            {
                run(0, store_call_outcome::succeeded);
            }
        }
    }

    result<stored_object> find(std::string const& kind,
                               std::string const& name) const
    {
        auto const found = objects_.find({kind, name});
        return found == objects_.end() ? stored_object{kind, name, 0, ""}
                                       : found->second;
    }

    result<std::uint64_t> write(stored_object object,
                                std::uint64_t expected_version)
    {
        if (find(object.kind_, object.name_).value().version_ !=
            expected_version)
        {
            return call_failure(error_code::conflict);
        }
        object.version_ = ++version_;
        objects_[{object.kind_, object.name_}] = object;
        log_.push_back(std::move(object));
        return version_;
    }

    /// All writes that have taken effect, oldest first.
    std::vector<stored_object> const& log() const { return log_; }

private:
    result<std::vector<stored_object>> find_all(std::string const& kind,
                                                std::string const& prefix) const
    {
        std::vector<stored_object> found;
        for (auto const& [key, object] : objects_)
        {
            if (key.first == kind && key.second.rfind(prefix, 0) == 0)
            {
                found.push_back(object);
            }
        }
        return found;
    }

    template <class Handler, class Effect>
    void respond(store_call_outcome outcome, Handler const& handler,
                 Effect const& effect)
    {
        switch (outcome)
        {
        case store_call_outcome::succeeded:
            handler(effect());
            return;
        case store_call_outcome::unreachable:
            handler(call_failure(error_code::unreachable));
            return;
        case store_call_outcome::response_lost:
            static_cast<void>(effect());
            break;
        case store_call_outcome::effect_delayed:
            delayed_effects_.push_back([effect]
                                       { static_cast<void>(effect()); });
            break;
        case store_call_outcome::request_lost:
            break;
        }
        handler(call_failure(error_code::response_lost));
    }

    std::map<std::pair<std::string, std::string>, stored_object> objects_;
    std::uint64_t version_ = 0;
    std::vector<stored_object> log_;
    std::deque<std::function<void(store_call_outcome)>> pending_;
    std::deque<std::function<void()>> delayed_effects_;
};

} // namespace auburnlb::test

#endif
