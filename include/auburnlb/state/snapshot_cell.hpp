// A cell that publishes immutable snapshots to many readers under RCU.
#ifndef AUBURNLB_STATE_SNAPSHOT_CELL_HPP
#define AUBURNLB_STATE_SNAPSHOT_CELL_HPP

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace auburnlb
{

/// Read-copy-update primitives of liburcu, kept behind plain functions.
/// Threads register themselves on first use.
void rcu_enter() noexcept;
void rcu_leave() noexcept;
/// Waits until every reader that might see an old pointer has left.
void rcu_wait() noexcept;

/// Holds one immutable value. Readers take neither a lock nor a reference
/// count; a writer waits for them before it frees the old value.
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
    /// reference must not outlive the call, and the function must not wait.
    template <class Function>
    auto read(Function&& function) const
    {
        struct section
        {
            section() noexcept { rcu_enter(); }
            ~section() { rcu_leave(); }
        } guard;
        return std::forward<Function>(function)(
            *current_.load(std::memory_order_acquire));
    }

    /// Replaces the value. Must not be called from inside a read section.
    void publish(Value next)
    {
        auto fresh = std::make_unique<Value>(std::move(next));
        std::lock_guard lock(writer_);
        std::unique_ptr<Value> old(
            current_.exchange(fresh.release(), std::memory_order_acq_rel));
        rcu_wait();
    }

private:
    std::atomic<Value*> current_;
    std::mutex writer_;
};

} // namespace auburnlb

#endif
