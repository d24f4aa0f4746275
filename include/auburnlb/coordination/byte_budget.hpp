// Limits the bytes that all requests of a process buffer together.
#ifndef AUBURNLB_COORDINATION_BYTE_BUDGET_HPP
#define AUBURNLB_COORDINATION_BYTE_BUDGET_HPP

#include <cstddef>

namespace auburnlb
{

/// Bytes that are buffered, and how many may be. Not thread-safe.
struct byte_budget
{
    std::size_t limit_ = 0;
    /// Invariant: at most limit_.
    std::size_t used_ = 0;

    bool operator==(byte_budget const&) const = default;
};

/// The bytes that one owner has taken from a budget, which it returns at its
/// end.
class budgeted_bytes
{
public:
    explicit budgeted_bytes(byte_budget& budget)
        : budget_(budget)
    {
    }
    ~budgeted_bytes() { release(); }
    budgeted_bytes(budgeted_bytes const&) = delete;
    budgeted_bytes& operator=(budgeted_bytes const&) = delete;

    /// Takes bytes from the budget; returns false if it has too few left.
    bool try_add(std::size_t bytes)
    {
        if (budget_.limit_ - budget_.used_ < bytes)
        {
            return false;
        }
        budget_.used_ += bytes;
        taken_ += bytes;
        return true;
    }

    /// Returns all bytes to the budget.
    void release()
    {
        budget_.used_ -= taken_;
        taken_ = 0;
    }

private:
    byte_budget& budget_;
    std::size_t taken_ = 0;
};

} // namespace auburnlb

#endif
