// Versioned objects of the fake platform, apart from HTTP and threads.
#ifndef AUBURNLB_FAKES_OBJECT_STORE_HPP
#define AUBURNLB_FAKES_OBJECT_STORE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "auburnlb/transport/platform_client.hpp"

namespace auburnlb::fakes
{

/// What a conditional update asks of the object's present version.
struct precondition
{
    /// The object must exist with this version.
    std::optional<std::uint64_t> version_;
    bool must_be_absent_ = false;
};

/// The status of HTTP that tells the outcome, and the version where it is 200.
struct write_outcome
{
    int status_ = 0;
    std::uint64_t version_ = 0;

    bool operator==(write_outcome const&) const = default;
};

/// Not thread-safe. Versions are global and grow with every change.
class object_store
{
public:
    write_outcome put(std::string const& kind, std::string const& name,
                      std::string value, precondition const& condition);
    write_outcome remove(std::string const& kind, std::string const& name,
                         precondition const& condition);
    /// Nothing when the object is absent or deleted.
    std::optional<platform_object> find(std::string const& kind,
                                        std::string const& name) const;
    std::vector<platform_object> list(std::string const& kind,
                                      std::string const& prefix) const;
    /// Objects of the kind that changed after the version, deleted ones
    /// included, in the order of their changes.
    std::vector<platform_object> changes(std::string const& kind,
                                         std::uint64_t after) const;

private:
    using object_key = std::pair<std::string, std::string>;

    bool is_met(precondition const& condition, object_key const& key) const;

    std::uint64_t last_version_ = 0;
    /// By kind and name; deleted objects stay as their last change.
    std::map<object_key, platform_object> objects_;
};

} // namespace auburnlb::fakes

#endif
