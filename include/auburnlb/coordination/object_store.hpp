// Interface to the platform's object store.
#ifndef AUBURNLB_COORDINATION_OBJECT_STORE_HPP
#define AUBURNLB_COORDINATION_OBJECT_STORE_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "auburnlb/state/error.hpp"

namespace auburnlb
{

/// One object. Version zero means that it is absent.
struct stored_object
{
    std::string kind_;
    std::string name_;
    std::uint64_t version_ = 0;
    std::string value_;

    bool operator==(stored_object const&) const = default;
};

/// Asynchronous access to objects. Each handler is called once, on any thread,
/// possibly before the method returns.
class object_store
{
public:
    template <class Value>
    using handler = std::function<void(result<Value>)>;

    virtual ~object_store() = default;

    /// Reads an object. An absent one gives either a value of version zero or
    /// error_code::not_found.
    virtual void get(std::string const& kind, std::string const& name,
                     handler<stored_object> handler) = 0;
    /// Reads all objects of a kind whose names begin with the prefix.
    virtual void list(std::string const& kind, std::string const& prefix,
                      handler<std::vector<stored_object>> handler) = 0;
    /// Writes an object if it still has the expected version; zero means that
    /// it must be absent. Gives the new version, or error_code::conflict.
    /// After error_code::response_lost or error_code::timeout, the write may
    /// have taken effect or may still do so; after any other error, it has not
    /// and will not.
    virtual void put(stored_object const& object,
                     std::uint64_t expected_version,
                     handler<std::uint64_t> handler) = 0;
    /// Removes an object if it still has the expected version. Gives the
    /// version of the removal; errors are those of put().
    virtual void remove(std::string const& kind, std::string const& name,
                        std::uint64_t expected_version,
                        handler<std::uint64_t> handler) = 0;
};

} // namespace auburnlb

#endif
