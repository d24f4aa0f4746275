// Incarnation ids from the operating system's random source.
#include "auburnlb/transport/incarnation.hpp"

#include <random>

namespace auburnlb
{

incarnation_id make_incarnation()
{
    std::random_device device;
    std::uniform_int_distribution<incarnation_id> range(1);
    return range(device);
}

} // namespace auburnlb
