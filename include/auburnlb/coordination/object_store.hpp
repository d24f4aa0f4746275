// The platform's object API as coordination needs it.
#ifndef AUBURNLB_COORDINATION_OBJECT_STORE_HPP
#define AUBURNLB_COORDINATION_OBJECT_STORE_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "auburnlb/state/error.hpp"

namespace auburnlb
{

/// One object. version_ is zero for an absent one.
struct stored_object
{
    std::string kind_;
    std::string name_;
    std::uint64_t version_ = 0;
    std::string value_;

    bool operator==(stored_object const&) const = default;
};

/// Asynchronous access to objects. Handlers are called once, on any thread,
/// possibly before the call returns.
class object_store
{
public:
    template <class Value>
    using handler = std::function<void(result<Value>)>;

    virtual ~object_store() = default;

    /// An absent object is a value of version zero or error_code::not_found.
    virtual void get(std::string const& kind, std::string const& name,
                     handler<stored_object> handler) = 0;
    /// All objects of a kind whose name begins with the prefix.
    virtual void list(std::string const& kind, std::string const& prefix,
                      handler<std::vector<stored_object>> handler) = 0;
    /// Writes if the object still has the expected version; zero means that it
    /// must be absent. Gives the new version, or error_code::conflict.
    /// error_code::response_lost and timeout mean that it may have happened or
    /// may still happen; any other error means that it did not.
    virtual void put(stored_object const& object,
                     std::uint64_t expected_version,
                     handler<std::uint64_t> handler) = 0;
    virtual void remove(std::string const& kind, std::string const& name,
                        std::uint64_t expected_version,
                        handler<std::uint64_t> handler) = 0;
};

} // namespace auburnlb

#endif
