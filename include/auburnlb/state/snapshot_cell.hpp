// A container that publishes immutable snapshots to many readers using RCU.
#ifndef AUBURNLB_STATE_SNAPSHOT_CELL_HPP
#define AUBURNLB_STATE_SNAPSHOT_CELL_HPP

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace auburnlb
{

/// Read-copy-update (RCU) primitives of liburcu, wrapped so that its headers
/// stay out of this one. A thread is registered on its first call.
void enter_read_section() noexcept;
void leave_read_section() noexcept;
/// Waits until all readers that may hold an old pointer have left their read
/// section.
void wait_for_readers() noexcept;

/// Holds one immutable value. Readers use neither locks nor reference counts; a
/// writer waits for them before it frees the old value.
template <class Value>
class snapshot_cell
{
public:
    explicit snapshot_cell(Value initial)
        : current_(new Value(std::move(initial)))
    {
    }
    snapshot_cell(snapshot_cell const&) = delete;
    snapshot_cell& operator=(snapshot_cell const&) = delete;
    ~snapshot_cell() { delete current_.load(); }

    /// Calls the function with the current value inside a read section. The
    /// reference must not outlive the call, and the function must not block.
    template <class Function>
    auto read(Function&& function) const
    {
        struct read_section
        {
            read_section() noexcept { enter_read_section(); }
            ~read_section() { leave_read_section(); }
        } guard;
        return std::forward<Function>(function)(
            *current_.load(std::memory_order_acquire));
    }

    /// Replaces the value. Waits for readers of the old value, so it must not
    /// be called inside a read section.
    void publish(Value next)
    {
        auto replacement = std::make_unique<Value>(std::move(next));
        std::lock_guard lock(writer_);
        std::unique_ptr<Value> old(current_.exchange(
            replacement.release(), std::memory_order_acq_rel));
        wait_for_readers();
    }

private:
    std::atomic<Value*> current_;
    std::mutex writer_;
};

} // namespace auburnlb

#endif
