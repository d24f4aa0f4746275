// Converts between platform_object and stored_object.
#include "auburnlb/transport/platform_store.hpp"

#include <utility>

namespace auburnlb
{

namespace
{

stored_object to_stored(platform_object object)
{
    return {std::move(object.kind_), std::move(object.name_), object.version_,
            std::move(object.value_)};
}

} // namespace

platform_store::platform_store(platform_client& platform)
    : platform_(platform)
{
}

void platform_store::get(std::string const& kind, std::string const& name,
                         handler<stored_object> handler)
{
    platform_.get(kind, name,
                  [handler = std::move(handler)](result<platform_object> read)
                  {
                      if (!read)
                      {
                          handler(read.error());
                          return;
                      }
                      handler(to_stored(std::move(read).value()));
                  });
}

void platform_store::list(std::string const& kind, std::string const& prefix,
                          handler<std::vector<stored_object>> handler)
{
    platform_.list(kind, prefix,
                   [handler = std::move(handler)](
                       result<std::vector<platform_object>> read)
                   {
                       if (!read)
                       {
                           handler(read.error());
                           return;
                       }
                       std::vector<stored_object> objects;
                       for (platform_object& object : read.value())
                       {
                           objects.push_back(to_stored(std::move(object)));
                       }
                       handler(std::move(objects));
                   });
}

void platform_store::put(stored_object const& object,
                         std::uint64_t expected_version,
                         handler<std::uint64_t> handler)
{
    platform_object written;
    written.kind_ = object.kind_;
    written.name_ = object.name_;
    written.value_ = object.value_;
    platform_.put(written, expected_version, std::move(handler));
}

void platform_store::remove(std::string const& kind, std::string const& name,
                            std::uint64_t expected_version,
                            handler<std::uint64_t> handler)
{
    platform_.remove(kind, name, expected_version, std::move(handler));
}

} // namespace auburnlb
