// Adapter of the platform client to the object_store interface.
#ifndef AUBURNLB_TRANSPORT_PLATFORM_STORE_HPP
#define AUBURNLB_TRANSPORT_PLATFORM_STORE_HPP

#include "auburnlb/coordination/object_store.hpp"
#include "auburnlb/transport/platform_client.hpp"

namespace auburnlb
{

/// Handlers run on the HTTP client's thread.
class platform_store final : public object_store
{
public:
    explicit platform_store(platform_client& platform);

    void get(std::string const& kind, std::string const& name,
             handler<stored_object> handler) override;
    void list(std::string const& kind, std::string const& prefix,
              handler<std::vector<stored_object>> handler) override;
    void put(stored_object const& object, std::uint64_t expected_version,
             handler<std::uint64_t> handler) override;
    void remove(std::string const& kind, std::string const& name,
                std::uint64_t expected_version,
                handler<std::uint64_t> handler) override;

private:
    platform_client& platform_;
};

} // namespace auburnlb

#endif
