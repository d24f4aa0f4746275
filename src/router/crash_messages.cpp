// Encoding and decoding of crash causes.
#include "auburnlb/router/crash_messages.hpp"

#include <nlohmann/json.hpp>

namespace auburnlb
{

namespace
{

using nlohmann::json;

std::int64_t age_ms(time_point at, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - at).count();
}

/// Ages beyond this are not of a router, which forgets sooner.
constexpr seconds max_age{3'600};

time_point time_at(json const& age, time_point now)
{
    constexpr int invalid_age = 501;
    milliseconds const value(age.get<std::int64_t>());
    if (value < milliseconds(0) || value > max_age)
    {
        throw json::other_error::create(
            invalid_age, "age_ms has the value " + age.dump(), &age);
    }
    return now - value;
}

} // namespace

json write_crash_causes(crash_causes_update const& update, time_point now)
{
    json crashes = json::object();
    for (auto const& [run, crash] : update.crashes_)
    {
        crashes[run] = {{"age_ms", age_ms(crash.at_, now)},
                        {"requests", crash.requests_}};
    }
    json successes = json::object();
    for (auto const& [trait, at] : update.successes_)
    {
        successes[trait] = age_ms(at, now);
    }
    return {{"crashes", crashes}, {"successes", successes}};
}

crash_causes_update read_crash_causes(json const& value, time_point now)
{
    crash_causes_update update;
    for (auto const& [run, crash] : value.at("crashes").items())
    {
        update.crashes_[run] = {
            time_at(crash.at("age_ms"), now),
            crash.at("requests").get<std::set<request_traits>>()};
    }
    for (auto const& [trait, age] : value.at("successes").items())
    {
        update.successes_[trait] = time_at(age, now);
    }
    return update;
}

} // namespace auburnlb
