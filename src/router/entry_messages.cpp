// Decoding of endpoint entries, one by one.
#include "auburnlb/router/entry_messages.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace auburnlb
{

namespace
{

using nlohmann::json;

constexpr char no_entry[] = "null";

json::object_t const& members_of(json const& value, char const* field)
{
    return value.at(field).get_ref<json::object_t const&>();
}

json::array_t const& elements_of(json const& value, char const* field)
{
    return value.at(field).get_ref<json::array_t const&>();
}

} // namespace

entries_delta read_entries_delta(json const& value)
{
    entries_delta delta;
    delta.version_ = {value.value("epoch", std::uint64_t{0}),
                      value.at("revision").get<std::uint64_t>()};
    delta.is_full_ = value.at("whole").get<bool>();
    for (auto const& [id, entry] : members_of(value, "changed"))
    {
        delta.changed_[id] = entry.is_string() ? entry.get<std::string>()
                                               : std::string(no_entry);
    }
    for (json const& id : elements_of(value, "removed"))
    {
        if (id.is_string())
        {
            delta.removed_.push_back(id.get<std::string>());
        }
    }
    return delta;
}

std::map<std::string, std::uint32_t> read_senders(json const& value)
{
    std::map<std::string, std::uint32_t> senders;
    if (!value.is_object())
    {
        return senders;
    }
    for (auto const& [id, count] : value.items())
    {
        if (count.is_number_unsigned() &&
            std::in_range<std::uint32_t>(count.get<std::uint64_t>()))
        {
            senders[id] = count.get<std::uint32_t>();
        }
    }
    return senders;
}

milliseconds read_short_time(json const& value)
{
    constexpr double limit_ms = 3'600'000;
    return value.is_number()
               ? milliseconds(static_cast<std::int64_t>(
                     std::clamp(value.get<double>(), -limit_ms, limit_ms)))
               : milliseconds(0);
}

} // namespace auburnlb
