// An object store in memory whose calls wait until a test lets them run, with
// lost answers and late effects.
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

/// What happens to one call.
enum class call_fate
{
    answered,
    unreachable,
    response_lost,
    /// The answer is lost first, the effect comes later.
    effect_late,
    request_lost,
};

inline error call_failure(error_code code)
{
    return {code, "call", "store", "as the test wants it"};
}

class memory_store final : public object_store
{
public:
    void get(std::string const& kind, std::string const& name,
             handler<stored_object> handler) override
    {
        pending_.push_back(
            [=, this](call_fate fate)
            { answer(fate, handler, [=, this] { return find(kind, name); }); });
    }

    void list(std::string const& kind, std::string const& prefix,
              handler<std::vector<stored_object>> handler) override
    {
        pending_.push_back(
            [=, this](call_fate fate) {
                answer(fate, handler,
                       [=, this] { return find_all(kind, prefix); });
            });
    }

    void put(stored_object const& object, std::uint64_t expected_version,
             handler<std::uint64_t> handler) override
    {
        pending_.push_back(
            [=, this](call_fate fate)
            {
                answer(fate, handler,
                       [=, this] { return write(object, expected_version); });
            });
    }

    void remove(std::string const& kind, std::string const& name,
                std::uint64_t expected_version,
                handler<std::uint64_t> handler) override
    {
        pending_.push_back(
            [=, this](call_fate fate)
            {
                answer(fate, handler,
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

    bool is_idle() const { return pending_.empty() && late_.empty(); }
    std::size_t pending() const { return pending_.size(); }

    /// Lets one of the waiting calls run.
    void run(std::size_t index, call_fate fate)
    {
        auto call = std::move(pending_[index % pending_.size()]);
        pending_.erase(pending_.begin() +
                       static_cast<std::ptrdiff_t>(index % pending_.size()));
        call(fate);
    }

    /// Lets one late effect happen.
    void run_late()
    {
        if (late_.empty())
        {
            return;
        }
        auto effect = std::move(late_.front());
        late_.pop_front();
        effect();
    }

    /// Answers everything that waits or comes, without faults.
    void settle()
    {
        while (!is_idle())
        {
            run_late();
            if (!pending_.empty())
            {
                run(0, call_fate::answered);
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

    /// Every write that took effect, oldest first.
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
    void answer(call_fate fate, Handler const& handler, Effect const& effect)
    {
        switch (fate)
        {
        case call_fate::answered:
            handler(effect());
            return;
        case call_fate::unreachable:
            handler(call_failure(error_code::unreachable));
            return;
        case call_fate::response_lost:
            static_cast<void>(effect());
            break;
        case call_fate::effect_late:
            late_.push_back([effect] { static_cast<void>(effect()); });
            break;
        case call_fate::request_lost:
            break;
        }
        handler(call_failure(error_code::response_lost));
    }

    std::map<std::pair<std::string, std::string>, stored_object> objects_;
    std::uint64_t version_ = 0;
    std::vector<stored_object> log_;
    std::deque<std::function<void(call_fate)>> pending_;
    std::deque<std::function<void()>> late_;
};

} // namespace auburnlb::test

#endif
