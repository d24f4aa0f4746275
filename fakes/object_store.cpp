// Versioned objects of the fake platform.
#include "object_store.hpp"

#include <algorithm>

namespace auburnlb::fakes
{

namespace
{

constexpr std::size_t max_value_bytes = 1U << 20U;

} // namespace

bool object_store::is_met(precondition const& condition,
                          object_key const& key) const
{
    auto const found = objects_.find(key);
    bool const is_present =
        found != objects_.end() && !found->second.is_deleted_;
    if (condition.must_be_absent_ && is_present)
    {
        return false;
    }
    if (!condition.version_)
    {
        return true;
    }
    return is_present && found->second.version_ == *condition.version_;
}

write_outcome object_store::put(std::string const& kind,
                                std::string const& name, std::string value,
                                precondition const& condition)
{
    if (value.size() > max_value_bytes)
    {
        return {413, 0};
    }
    if (!is_met(condition, {kind, name}))
    {
        return {412, 0};
    }
    std::uint64_t const version = ++last_version_;
    objects_[{kind, name}] = {kind, name, version, std::move(value), false};
    return {200, version};
}

write_outcome object_store::remove(std::string const& kind,
                                   std::string const& name,
                                   precondition const& condition)
{
    auto const found = objects_.find({kind, name});
    if (found == objects_.end() || found->second.is_deleted_)
    {
        return {404, 0};
    }
    if (!is_met(condition, {kind, name}))
    {
        return {412, 0};
    }
    std::uint64_t const version = ++last_version_;
    found->second = {kind, name, version, {}, true};
    return {200, version};
}

std::optional<platform_object> object_store::find(std::string const& kind,
                                                  std::string const& name) const
{
    auto const found = objects_.find({kind, name});
    if (found == objects_.end() || found->second.is_deleted_)
    {
        return std::nullopt;
    }
    return found->second;
}

std::vector<platform_object> object_store::list(std::string const& kind,
                                                std::string const& prefix) const
{
    std::vector<platform_object> listed;
    for (auto place = objects_.lower_bound({kind, prefix});
         place != objects_.end() && place->first.first == kind &&
         place->first.second.rfind(prefix, 0) == 0;
         ++place)
    {
        if (!place->second.is_deleted_)
        {
            listed.push_back(place->second);
        }
    }
    return listed;
}

std::vector<platform_object> object_store::changes(std::string const& kind,
                                                   std::uint64_t after) const
{
    std::vector<platform_object> changed;
    for (auto place = objects_.lower_bound({kind, {}});
         place != objects_.end() && place->first.first == kind; ++place)
    {
        if (place->second.version_ > after)
        {
            changed.push_back(place->second);
        }
    }
    std::sort(changed.begin(), changed.end(),
              [](auto const& a, auto const& b)
              { return a.version_ < b.version_; });
    return changed;
}

} // namespace auburnlb::fakes
