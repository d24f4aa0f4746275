// RCU read sections, implemented with liburcu.
#include "auburnlb/state/snapshot_cell.hpp"

#include <urcu/urcu-memb.h>

namespace auburnlb
{

namespace
{

struct reader_registration
{
    reader_registration() { urcu_memb_register_thread(); }
    reader_registration(reader_registration const&) = delete;
    reader_registration& operator=(reader_registration const&) = delete;
    ~reader_registration() { urcu_memb_unregister_thread(); }
};

void register_this_thread()
{
    thread_local reader_registration registration;
    static_cast<void>(registration);
}

} // namespace

void enter_read_section() noexcept
{
    register_this_thread();
    urcu_memb_read_lock();
}

void leave_read_section() noexcept
{
    urcu_memb_read_unlock();
}

void wait_for_readers() noexcept
{
    urcu_memb_synchronize_rcu();
}

} // namespace auburnlb
